package thquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thquarantine"

	"gotest.tools/v3/assert"
)

// simulation runs a service whose targets also crash by themselves now and then,
// while a caller keeps sending a request that crashes every target.
type simulation struct {
	random  *rand.Rand
	targets []simulatedTarget
	// table decides which requests may run; nil if mayRun does.
	table *thquarantine.Table
	// mayRun decides for a request by the number of connections that closed on it.
	mayRun func(closed int) bool
	// listens is set if crashed targets still accept connections, as one does
	// whose parent process holds the listening socket.
	listens bool
	// closed counts for mayRun how often a connection closed on a request.
	closed map[thquarantine.Key]int

	// crashes counts the targets that the crashing request brought down, and
	// refusedWrongly the refusals of other requests.
	crashes, refusedWrongly, runs int
}

type simulatedTarget struct {
	downUntil time.Duration
	running   []simulatedRun
}

type simulatedRun struct {
	key  thquarantine.Key
	ends time.Duration
}

const (
	targetSlots      = 6
	restartTime      = 2 * time.Second
	tick             = 10 * time.Millisecond
	simulatedTime    = 10 * time.Minute
	runTime          = 200 * time.Millisecond
	ownCrashInterval = 20 * time.Second       // mean time between a target's own crashes
	resendInterval   = 500 * time.Millisecond // of the crashing request
	detectionDelay   = 50 * time.Millisecond  // until a connection is refused and requests are retried
)

func (s *simulation) isRefused(now time.Duration, k thquarantine.Key) bool {
	if s.table != nil {
		return s.table.IsQuarantined(at(now), k)
	}
	return !s.mayRun(s.closed[k])
}

// send runs the request on a random target that is up and has a free slot,
// unless it is refused. It gives up after drawing 20 targets without one.
func (s *simulation) send(now time.Duration, k thquarantine.Key, crashes bool, attempts int) {
	if s.isRefused(now, k) {
		if !crashes {
			s.refusedWrongly++
		}
		return
	}
	for range 20 {
		i := s.random.IntN(len(s.targets))
		t := &s.targets[i]
		if now < t.downUntil || len(t.running) >= targetSlots {
			continue
		}
		t.running = append(t.running, simulatedRun{k, now + runTime})
		s.runs++
		if crashes {
			s.crashes++
			s.crash(now, i, attempts)
		}
		return
	}
}

// crash takes the target down and, while attempts are left, retries its other
// requests elsewhere.
func (s *simulation) crash(now time.Duration, i, attempts int) {
	t := &s.targets[i]
	interrupted := t.running
	t.running, t.downUntil = nil, now+restartTime
	name := fmt.Sprint(i)
	for _, r := range interrupted {
		s.closed[r.key]++
		if s.table != nil {
			s.table.RecordConnectionClosed(at(now), r.key, name, false)
		}
	}
	if s.table != nil && !s.listens {
		s.table.RecordConnectionRefused(at(now+detectionDelay), name)
	}
	if attempts <= 1 {
		return
	}
	for _, r := range interrupted {
		if r.key != crashingRequest {
			s.send(now+detectionDelay, r.key, false, attempts-1)
		}
	}
}

var crashingRequest = key("guild", -1)

func (s *simulation) run() {
	harmless := 0
	for now := time.Duration(0); now < simulatedTime; now += tick {
		for i := range s.targets {
			t := &s.targets[i]
			unfinished := t.running[:0]
			for _, r := range t.running {
				if r.ends > now {
					unfinished = append(unfinished, r)
					continue
				}
				if s.table != nil {
					s.table.RecordAnswer(at(now), r.key)
				}
			}
			t.running = unfinished
			if now >= t.downUntil && s.random.Float64() < float64(tick)/float64(ownCrashInterval) {
				s.crash(now, i, 3)
			}
		}
		harmless++
		s.send(now, key("college", harmless), false, 3)
		if now%resendInterval == 0 {
			s.send(now, crashingRequest, true, 1)
		}
		if s.table != nil && now%time.Second == 0 {
			s.table.Sweep(at(now))
		}
	}
}

// TestTableBoundsCrashesAndRefusesNoOtherRequest compares the table with never
// refusing and with refusing after one closed connection. It guards against a
// request that crashes targets without end, and against refusing the requests that
// ran on the same targets. The bounds are three confirmed crashes or, where targets
// go on listening, six unconfirmed ones, after which the quarantine lasts as long
// as the test.
func TestTableBoundsCrashesAndRefusesNoOtherRequest(t *testing.T) {
	policies := []struct {
		name    string
		table   *thquarantine.Table
		mayRun  func(int) bool
		listens bool
		// maxCrashes bounds the crashes by the crashing request.
		maxCrashes int
	}{
		{name: "never refuse", mayRun: func(int) bool { return true }},
		{name: "refuse after one closed connection", mayRun: func(n int) bool { return n == 0 }},
		{name: "table", table: &thquarantine.Table{}, maxCrashes: 3},
		{name: "table, targets that go on listening", table: &thquarantine.Table{}, listens: true, maxCrashes: 6},
	}
	for _, p := range policies {
		s := &simulation{random: rand.New(rand.NewPCG(3, 4)), targets: make([]simulatedTarget, 10), table: p.table, mayRun: p.mayRun, listens: p.listens, closed: map[thquarantine.Key]int{}}
		s.run()
		t.Logf("%s: the crashing request crashed %d targets; %d other requests refused of %d runs", p.name, s.crashes, s.refusedWrongly, s.runs)
		if p.table != nil {
			assert.Assert(t, s.crashes <= p.maxCrashes)
			assert.Equal(t, s.refusedWrongly, 0)
		}
	}
}
