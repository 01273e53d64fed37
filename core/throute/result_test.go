package throute_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
)

type serviceSpec = thconfig.Service

// result is what a world measured after its onset.
type result struct {
	asked, well []int // by customer
	sends       int
	cells       int     // bytes exchanged
	calls       int     // exchanges begun
	hours       float64 // of all VMs together
	refused     int
	failed      int
	latencies   *hdrhistogram.Histogram // in microseconds
	detections  []time.Duration
	missed      int
	falseOnes   int
	lateWork    int     // requests to a target that had long said it was leaving
	capacity    float64 // the least open share of targets that any VM had
}

// goodWithin is how long an answer may take to count as given well.
const goodWithin = 10 * serviceTime

func (x *world) finish(c *call, err error) {
	if c.over {
		panic("a call ended twice")
	}
	c.over = true
	if x.result.latencies == nil {
		x.result.latencies = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	took := x.now - c.begun
	if err != nil && x.surge.resend && c.resent < resends {
		x.after(resendAfter, func() {
			x.requestAgain(x.vms[x.rng.IntN(len(x.vms))], int(c.q.Customer.Name[0]-'0'), c.q.Method, c.resent+1)
		})
	}
	switch {
	case err == nil:
		_ = x.result.latencies.RecordValue(took.Microseconds())
		if took <= goodWithin {
			x.result.well[int(c.q.Customer.Name[0]-'0')]++
		}
	case therror.KindOf(err).Answer().Outcome == therror.NotRun:
		x.result.refused++
	default:
		x.result.failed++
	}
}

const (
	resends     = 3
	resendAfter = 100 * time.Millisecond
)

// watch notes which targets the VM has ejected.
func (x *world) watch(v *fakeVM) {
	open := make([]bool, len(x.targets))
	for _, i := range v.b.Set().Open() {
		open[i] = true
	}
	count := 0
	for i := range open {
		if open[i] {
			count++
		}
		if open[i] || !v.open[i] || x.faults[i].leaving {
			continue
		}
		if x.culprit(v, i) {
			if v.found[i] == 0 {
				v.found[i] = x.now - x.onset
			}
			continue
		}
		x.result.falseOnes++
	}
	v.open = open
	x.result.capacity = min(x.result.capacity, float64(count)/float64(len(open)))
}

// culprit is whether the VM is right to eject the target now.
func (x *world) culprit(v *fakeVM, i int) bool {
	f := x.faults[i]
	if x.wholeService() {
		return false
	}
	if f == (fault{}) || f.lyLoad || f.silent > 0 || f.leaving || x.now < x.onset {
		return false
	}
	return f.onlyVM == 0 || f.onlyVM == v.index+1
}

func (x *world) collectDetections(end time.Duration) {
	for _, v := range x.vms {
		for i := range x.targets {
			x.now = x.onset
			if !x.culprit(v, i) || x.wholeService() {
				continue
			}
			if v.found[i] == 0 {
				x.result.missed++
				x.result.detections = append(x.result.detections, end-x.onset)
				continue
			}
			x.result.detections = append(x.result.detections, v.found[i])
		}
	}
}

// wholeService is whether all targets are at fault, so that none should go.
func (x *world) wholeService() bool {
	return !slices.Contains(x.faults, fault{})
}

func (r *result) add(o result) {
	for i := range o.asked {
		if i >= len(r.asked) {
			r.asked, r.well = append(r.asked, 0), append(r.well, 0)
		}
		r.asked[i] += o.asked[i]
		r.well[i] += o.well[i]
	}
	if r.latencies == nil {
		r.latencies, r.capacity = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2), 1
	}
	r.latencies.Merge(o.latencies)
	r.sends += o.sends
	r.cells += o.cells
	r.calls += o.calls
	r.hours += o.hours
	r.refused += o.refused
	r.failed += o.failed
	r.detections = append(r.detections, o.detections...)
	r.missed += o.missed
	r.lateWork += o.lateWork
	r.falseOnes += o.falseOnes
	r.capacity = min(r.capacity, o.capacity)
}

func (r *result) total() int {
	sum := 0
	for _, n := range r.asked {
		sum += n
	}
	return sum
}

// worst is the share of its requests that the worst-served customer got
// answered well.
func (r *result) worst() float64 {
	return r.worstFrom(0)
}

// worstFrom is the same without the first, largest customers.
func (r *result) worstFrom(first int) float64 {
	worst := 1.0
	for i, n := range r.asked {
		if i < first {
			continue
		}
		worst = math.Min(worst, float64(r.well[i])/float64(max(n, 1)))
	}
	return worst
}

const (
	// callBytes is about what a call and its answer weigh besides the cells.
	callBytes    = 600.0
	base64Growth = 4.0 / 3
)

func (r *result) report(b *testing.B) {
	b.Helper()
	slices.Sort(r.detections)
	if n := len(r.detections); n > 0 {
		b.ReportMetric(r.detections[n/2].Seconds(), "detect-p50-s")
		b.ReportMetric(r.detections[n-1].Seconds(), "detect-max-s")
		b.ReportMetric(float64(r.missed)/float64(n)*100, "missed-%")
	}
	b.ReportMetric(float64(r.falseOnes)/r.hours, "false/VM-h")
	b.ReportMetric(float64(r.refused)/float64(r.total())*100, "refused-%")
	b.ReportMetric(float64(r.failed)/float64(r.total())*100, "failed-%")
	b.ReportMetric(float64(r.latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(r.worst()*100, "worst-%")
	b.ReportMetric(r.worstFrom(1)*100, "worst-other-%")
	b.ReportMetric(float64(r.lateWork), "late-work")
	b.ReportMetric(r.capacity*100, "open-min-%")
	b.ReportMetric(float64(r.sends)/float64(r.total()), "sends/req")
	b.ReportMetric(2*(base64Growth*float64(r.cells)+callBytes*float64(r.calls))/r.hours/3600, "B/VM-s")
	b.ReportMetric(0, "ns/op")
}
