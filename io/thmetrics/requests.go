package thmetrics

import (
	"sync"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyLowest  = int64(time.Microsecond)
	latencyHighest = int64(10 * time.Minute)
	latencyDigits  = 2
	// latencyTurn is how long a set of latencies is kept before it is begun anew.
	latencyTurn = time.Minute
)

// Requests counts what this VM's callers saw. Make one with NewRequests.
type Requests struct {
	answered atomic.Uint64
	refused  [64]atomic.Uint64
	added    *latencies
	total    *latencies
}

// NewRequests returns counters that stand at zero.
func NewRequests() *Requests {
	return &Requests{added: newLatencies(), total: newLatencies()}
}

// Record counts one request. Added is the part of its latency that was not a
// target's.
func (r *Requests) Record(o thburn.Observation, added time.Duration) {
	if o.Refused {
		r.refused[int(o.Kind)%len(r.refused)].Add(1)
		return
	}
	r.answered.Add(1)
	r.total.record(o.Latency)
	r.added.record(added)
}

// RequestStats are the counters at one moment.
type RequestStats struct {
	Answered uint64
	// Refused counts refusals by kind.
	Refused map[string]uint64
	// Latencies are of answered requests, over the last one to two minutes.
	TotalP50Micros, TotalP99Micros int64
	AddedP50Micros, AddedP99Micros int64
}

// Stats returns the counters.
func (r *Requests) Stats() RequestStats {
	s := RequestStats{Answered: r.answered.Load(), Refused: make(map[string]uint64)}
	for _, k := range therror.Kinds() {
		if n := r.refused[int(k)%len(r.refused)].Load(); n > 0 {
			s.Refused[k.String()] = n
		}
	}
	s.TotalP50Micros, s.TotalP99Micros = r.total.percentiles()
	s.AddedP50Micros, s.AddedP99Micros = r.added.percentiles()
	return s
}

// latencies holds two sets, of which the older one is emptied in turn.
type latencies struct {
	mu     sync.Mutex
	sets   [2]*hdrhistogram.Histogram
	turned time.Time
}

func newLatencies() *latencies {
	l := &latencies{turned: time.Now()}
	for i := range l.sets {
		l.sets[i] = hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	}
	return l
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn()
	_ = l.sets[0].RecordValue(min(max(int64(d), latencyLowest), latencyHighest))
}

func (l *latencies) turn() {
	if time.Since(l.turned) < latencyTurn {
		return
	}
	l.turned = time.Now()
	l.sets[0], l.sets[1] = l.sets[1], l.sets[0]
	l.sets[0].Reset()
}

func (l *latencies) percentiles() (p50, p99 int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn()
	all := hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	for _, s := range l.sets {
		all.Merge(s)
	}
	micros := func(p float64) int64 { return all.ValueAtPercentile(p) / int64(time.Microsecond) }
	return micros(50), micros(99)
}
