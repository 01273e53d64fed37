package throute_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

func drawCandidates(t *rapid.T) []throute.Candidate {
	n := rapid.IntRange(1, 20).Draw(t, "targets")
	cs := make([]throute.Candidate, n)
	for i := range cs {
		cs[i] = throute.Candidate{
			Address:  fmt.Sprint(i),
			Gone:     rapid.IntRange(0, 4).Draw(t, "gone") == 0,
			Sick:     rapid.Bool().Draw(t, "sick"),
			Severity: rapid.Float64().Draw(t, "severity"),
			Cold:     rapid.SampledFrom([]float64{0, 0, 0, 0.5, 0.9, 1, 7, math.NaN()}).Draw(t, "cold"),
		}
	}
	return cs
}

// capacityOf is what a candidate counts towards the floor.
func capacityOf(c throute.Candidate) float64 {
	if c.Gone || math.IsNaN(c.Cold) {
		return 0
	}
	return 1 - min(c.Cold, 0.9)
}

// keepsFloor says why the open targets break the floor, or "".
func keepsFloor(cs []throute.Candidate, open []int, floor float64) string {
	var all, left float64
	anySickOut := false
	for i, c := range cs {
		all += capacityOf(c)
		switch {
		case slices.Contains(open, i):
			left += capacityOf(c)
			if c.Gone {
				return "a leaving target is open"
			}
		case !c.Gone:
			anySickOut = true
		}
	}
	if anySickOut && left < math.Ceil(floor*float64(len(cs))-1e-6)-1e-6 {
		return fmt.Sprintf("%v of %v capacity is open, floor %v of %d", left, all, floor, len(cs))
	}
	return ""
}

func TestSetKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := drawCandidates(t)
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		s := throute.NewSet(cs, floor)
		assert.Equal(t, keepsFloor(cs, s.Open(), floor), "")
		left := slices.ContainsFunc(cs, func(c throute.Candidate) bool { return capacityOf(c) > 0 })
		assert.Assert(t, !left || len(s.Open()) > 0)
	})
}

func TestSetEjectsTheWorstFirst(t *testing.T) {
	cs := []throute.Candidate{{Sick: true, Severity: 1}, {Sick: true, Severity: 3}, {Sick: true, Severity: 2}, {}}
	s := throute.NewSet(cs, 0.5)
	assert.DeepEqual(t, s.Ejected(), []int{1, 2})
	assert.Equal(t, s.Held(), 1)
}

// drawSpec returns a service whose targets may be leaving.
func drawSpec(t *rapid.T, n int) thconfig.Service {
	s := thconfig.Service{
		Name: "s", Slots: 2, Connections: 300, ShedStatus: 429,
		Floor: rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.8, 1}).Draw(t, "floor"),
	}
	for i := range n {
		s.Targets = append(s.Targets, thconfig.Target{Address: fmt.Sprint(i), Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0})
	}
	return s
}

func drawAttempt(t *rapid.T, target string, now thclock.Instant) threquest.Attempt {
	a := threquest.Attempt{Target: target, Sent: rapid.Bool().Draw(t, "sent"), Reused: rapid.Bool().Draw(t, "reused"), Began: now.Add(-time.Duration(rapid.IntRange(1, 5000).Draw(t, "took")) * time.Millisecond), Ended: now}
	kinds := []therror.Kind{therror.ConnectFailed, therror.AnswerLost, therror.AnswerBroken, therror.AnswerLate, therror.CallerGone}
	if i := rapid.IntRange(0, 2*len(kinds)).Draw(t, "kind"); i < len(kinds) {
		a.Err = therror.New(kinds[i], "")
		return a
	}
	a.Answer = &threquest.Answer{Status: rapid.SampledFrom([]int{200, 404, 429, 500, 503}).Draw(t, "status")}
	if rapid.IntRange(0, 15).Draw(t, "says") == 0 {
		a.Answer.Headers = []threquest.Header{{Name: throute.HeaderState, Value: throute.StateLeaving}}
	}
	return a
}

func drawCell(t *rapid.T, service string, n int) thhealth.Cell {
	counts := func() thhealth.Counts {
		c := thhealth.Counts{Requests: rapid.Float64Range(0, 5000).Draw(t, "requests")}
		c.Failed = c.Requests * rapid.Float64Range(0, 1).Draw(t, "failed")
		c.Slow = c.Requests * rapid.Float64Range(0, 1).Draw(t, "slow")
		c.Stalled = c.Slow
		return c
	}
	return thhealth.Cell{
		Target: thhealth.TargetKey(service, fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "target"))),
		Origin: rapid.Uint32Range(1, 8).Draw(t, "origin"),
		Age:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond,
		Tally:  thhealth.Tally{Short: counts(), Long: counts()}, Rest: thhealth.Rest{Short: counts(), Long: counts()},
		Leaving: rapid.Bool().Draw(t, "leaving"), Suspect: rapid.Bool().Draw(t, "suspect"), Ejected: rapid.Bool().Draw(t, "ejected"),
	}
}

// TestFloorHoldsAtThePick throws answers, messages of other VMs, configurations
// and pauses at a balancer; at every pick the targets open to it keep the floor
// and none that is leaving is picked.
func TestFloorHoldsAtThePick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "targets")
		spec := drawSpec(t, n)
		now := thclock.At(time.Hour)
		place := throute.Place{ID: "vm", VMs: 40}
		b := throute.NewBalancer[int](now, spec, place, rand.New(rand.NewPCG(1, 2)))
		said := make([]thclock.Instant, n) // until when a target's own word holds
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 300, 6000}).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				spec = drawSpec(t, n)
				b.Configure(now, spec, place)
			case 1, 2:
				b.Receive(now, drawCell(t, spec.Name, n))
			case 3, 4:
				b.Apply(now, b.Evidence(now).Judge())
			default:
				try := throute.Try{Request: &threquest.Request{Service: spec, Method: "GET", Deadline: now.Add(time.Minute)}}
				address, err := b.Pick(now, &try)
				assert.Equal(t, keepsFloor(b.Set().Candidates(), b.Set().Open(), spec.Floor), "")
				if err != nil {
					continue
				}
				i := slices.IndexFunc(spec.Targets, func(o thconfig.Target) bool { return o.Address == address })
				assert.Assert(t, !spec.Targets[i].Leaving, "a leaving target was picked")
				assert.Assert(t, !now.Before(said[i]), "a target that said it is leaving was picked")
				a := drawAttempt(t, address, now)
				b.Settle(&try, a, false)
				if a.Answer != nil && len(a.Answer.Headers) > 0 && a.Answer.Status != spec.ShedStatus {
					said[i] = now.Add(29 * time.Second)
				}
			}
		}
	})
}

// TestFloorWithoutTheSet shows that the naive policy breaks the floor which the
// set keeps, on the same failures.
func TestFloorWithoutTheSet(t *testing.T) {
	spec := thconfig.Service{Name: "s", Slots: 2, Floor: 0.5}
	for i := range 6 {
		spec.Targets = append(spec.Targets, thconfig.Target{Address: fmt.Sprint(i)})
	}
	now := thclock.At(time.Hour)
	naive := newNaive(spec, 0)
	for range 100 {
		try := throute.Try{Request: &threquest.Request{Service: spec, Method: "GET", Deadline: now.Add(time.Minute)}}
		if _, err := naive.Pick(now, &try); err != nil {
			break
		}
		naive.Settle(&try, threquest.Attempt{Err: therror.New(therror.ConnectFailed, ""), Ended: now}, false)
	}
	assert.Assert(t, keepsFloor(naive.Set().Candidates(), naive.Set().Open(), spec.Floor) != "")
}
