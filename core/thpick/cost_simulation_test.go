package thpick_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// policy is a way to choose targets.
type policy uint8

const (
	// cheapest takes the cheapest target, however old the counts are.
	cheapest policy = iota
	// drawn takes the cheapest of some that are drawn at random, by what the VM has learned.
	drawn
	// drawnAlways draws as if counts were old.
	drawnAlways
	leastLoaded
	twoChoices
)

var policyNames = [...]string{"cheapest", "drawn", "drawnAlways", "leastLoaded", "twoChoices"}

// simRoutes are the routes of the service. Answers lose 0.7 of their credit after the objective, and all
// after three times that.
var simRoutes = [...]struct {
	median, objective time.Duration
	spread, share     float64
}{
	{100 * time.Millisecond, 500 * time.Millisecond, 0.3, 0.5},
	{276 * time.Millisecond, time.Second, 0.55, 0.35},
	{870 * time.Millisecond, 4 * time.Second, 0.8, 0.15},
}

const (
	// slowShare of the requests take slowFactor times as long as they would otherwise.
	slowShare, slowFactor = 0.02, 5

	simVMs, simTargets, simZones, simSlots, simQueue = 30, 24, 3, 6, 24
	simWarmUp, simSpan                               = 4 * time.Second, 12 * time.Second
	simBytes                                         = 2500
)

// costScenario is a load of a service, and what its VMs know.
type costScenario struct {
	policy policy
	// share is the work that arrives as a share of what the targets can do.
	share float64
	// uneven makes every third target half as fast.
	uneven bool
	// age is how old the counts are that VMs have of each other's requests.
	age  time.Duration
	seed uint64
}

// simTarget runs requests in its slots, in the order of their arrival.
type simTarget struct {
	factor         float64
	running, known int
	waiting        []func()
	health         thhealth.Health
}

// simVM is what one VM knows by itself. The requests in ownKnown are in simTarget.known.
type simVM struct {
	zone          string
	routes        [len(simRoutes)]thpick.LatencyEstimate
	slots         thpick.LatencyEstimate
	unseen        thpick.UnseenRequests
	own, ownKnown [simTargets]int
	idle          [simTargets]int
}

type simEvent struct {
	at time.Duration
	do func()
}

// simEvents is a heap of events by time.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type costPlay struct {
	costScenario
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	targets  [simTargets]*simTarget
	vms      [simVMs]*simVM
	measured bool
	asked    int
	// credit is what answers earned, without the prices of connections and of traffic between zones.
	credit float64
}

// play returns the mean credit of a request, less the prices that were paid for it.
func (c costScenario) play() float64 {
	p := &costPlay{costScenario: c, rng: rand.New(rand.NewPCG(11, c.seed)), now: time.Hour}
	speed, mean := 0.0, 0.0
	for i := range p.targets {
		p.targets[i] = &simTarget{factor: 1}
		if c.uneven && i%3 == 0 {
			p.targets[i].factor = 2
		}
		speed += 1 / p.targets[i].factor
	}
	for i := range p.vms {
		p.vms[i] = &simVM{zone: fmt.Sprint("z", i%simZones)}
	}
	for _, r := range simRoutes {
		mean += r.share * r.median.Seconds() * math.Exp(r.spread*r.spread/2) * (1 + slowShare*(slowFactor-1))
	}
	p.arrive(c.share*speed*simSlots/mean, p.now+simWarmUp+simSpan)
	p.after(simWarmUp, func() { p.measured = true })
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.do()
	}
	return p.credit / float64(p.asked)
}

func (p *costPlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, simEvent{p.now + d, do})
}

func (p *costPlay) arrive(perSecond float64, until time.Duration) {
	if p.now < until {
		p.after(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
			p.request()
			p.arrive(perSecond, until)
		})
	}
}

func (p *costPlay) candidates(vm *simVM) []thpick.Candidate {
	cs := make([]thpick.Candidate, simTargets)
	for i, t := range p.targets {
		cs[i] = thpick.Candidate{
			Target: thtable.Target{ID: fmt.Sprint(i), Zone: fmt.Sprint("z", i%simZones), Slots: simSlots}, Health: t.health,
			InFlight: p.expected(vm, i), HasIdleConnection: vm.idle[i] > 0,
		}
	}
	return cs
}

// expected returns how many requests the VM expects at the target.
func (p *costPlay) expected(vm *simVM, i int) int {
	return max(0, p.targets[i].known-vm.ownKnown[i]) + vm.own[i]
}

func (p *costPlay) pick(q thpick.Query, cs []thpick.Candidate) int {
	switch p.policy {
	case leastLoaded:
		best, least := 0, math.Inf(1)
		for i, c := range cs {
			if load := float64(c.InFlight) + p.rng.Float64(); load < least {
				best, least = i, load
			}
		}
		return best
	case twoChoices:
		a, b := p.rng.IntN(len(cs)), p.rng.IntN(len(cs))
		if cs[b].InFlight < cs[a].InFlight {
			return b
		}
		return a
	case cheapest:
		q.UnseenRequests = 0
	case drawnAlways:
		q.UnseenRequests = 10
	case drawn:
	}
	i, _ := thpick.Pick(p.rng, q, cs)
	return i
}

// request sends a request of a caller through a random VM.
func (p *costPlay) request() {
	vm, route, x := p.vms[p.rng.IntN(simVMs)], 0, p.rng.Float64()
	for ; x > simRoutes[route].share && route < len(simRoutes)-1; route++ {
		x -= simRoutes[route].share
	}
	r, now, measured := simRoutes[route], thclock.At(p.now), p.measured
	if measured {
		p.asked++
	}
	q := thpick.Query{
		Now: now, Arrived: now, Objective: now.Add(r.objective), Deadline: now.Add(3 * r.objective), Zone: vm.zone, Bytes: simBytes,
		ExpectedLatency: vm.routes[route].Median(r.objective), SlotTime: vm.slots.Median(r.objective), UnseenRequests: vm.unseen.PerTarget(now),
	}
	cs := p.candidates(vm)
	i := p.pick(q, cs)
	t, c := p.targets[i], cs[i]
	if _, shed := thpick.ShouldShed(q, c); shed || len(t.waiting) >= simQueue {
		return
	}
	if measured {
		p.credit -= priceOf(q, c)
	}
	vm.idle[i] = max(0, vm.idle[i]-1)
	vm.own[i]++
	p.after(p.age, func() { t.known++; vm.ownKnown[i]++ })
	arrived := p.now
	p.runAt(t, time.Duration(float64(r.median)*math.Exp(r.spread*p.rng.NormFloat64())), func() {
		took := p.now - arrived
		vm.own[i]--
		vm.idle[i]++
		p.after(p.age, func() { t.known--; vm.ownKnown[i]-- })
		vm.routes[route], vm.slots = vm.routes[route].WithAnswer(took), vm.slots.WithAnswer(took)
		report := thpick.LoadReport{Running: t.running, Waiting: len(t.waiting), Slots: simSlots}
		vm.unseen = vm.unseen.WithReport(thclock.At(p.now), report, p.expected(vm, i))
		t.health = t.health.WithOutcome(thclock.At(p.now), thhealth.Answered).WithLatencyRatio(float64(took) / float64(q.ExpectedLatency))
		switch {
		case measured && took <= r.objective:
			p.credit++
		case measured && took <= 3*r.objective:
			p.credit += 0.3
		}
	})
}

// priceOf returns the price of a new connection and of traffic between zones.
func priceOf(q thpick.Query, c thpick.Candidate) (price float64) {
	if !c.HasIdleConnection {
		price += 0.06
	}
	if c.Target.Zone != q.Zone {
		price += 0.004 / 1024 * simBytes
	}
	return price
}

// runAt runs a request at the target once a slot is free.
func (p *costPlay) runAt(t *simTarget, work time.Duration, done func()) {
	if p.rng.Float64() < slowShare {
		work *= slowFactor
	}
	start := func() {
		t.running++
		p.after(time.Duration(float64(work)*t.factor), func() {
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			done()
		})
	}
	if t.running < simSlots {
		start()
		return
	}
	t.waiting = append(t.waiting, start)
}

// mean returns the mean of some seeds, and its standard error.
func (c costScenario) mean(seeds uint64) (mean, standardError float64) {
	sum, squares := 0.0, 0.0
	for c.seed = range seeds {
		x := c.play()
		sum, squares = sum+x, squares+x*x
	}
	n := float64(seeds)
	return sum / n, math.Sqrt(max(0, squares/n-sum*sum/n/n) / max(1, n-1))
}

// BenchmarkCosts reports what a request earns on average by the policies, loads and ages of the counts.
func BenchmarkCosts(b *testing.B) {
	for _, uneven := range []bool{false, true} {
		for _, share := range []float64{0.5, 0.8, 0.95, 1.1} {
			for _, age := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
				for i, name := range policyNames {
					b.Run(fmt.Sprintf("uneven=%v/%g/%v/%s", uneven, share, age, name), func(b *testing.B) {
						var mean, standardError float64
						for range b.N {
							mean, standardError = costScenario{policy: policy(i), share: share, uneven: uneven, age: age}.mean(6)
						}
						b.ReportMetric(mean, "net")
						b.ReportMetric(standardError, "error")
					})
				}
			}
		}
	}
}

// TestOldCountsDoNotGatherRequests guards against VMs that all send to the targets that were idle a while
// ago, and against VMs that pay for connections and traffic between zones although their counts are new.
func TestOldCountsDoNotGatherRequests(t *testing.T) {
	for _, c := range []struct {
		costScenario
		// gain is the least by which draws must be better than the cheapest target.
		gain float64
	}{
		{costScenario{share: 0.8, uneven: true, age: time.Millisecond}, -0.003},
		{costScenario{share: 0.8, uneven: true, age: 100 * time.Millisecond}, 0.1},
		{costScenario{share: 0.8, uneven: true, age: time.Second}, 0.4},
	} {
		before, _ := c.mean(2)
		c.policy = drawn
		after, _ := c.mean(2)
		t.Logf("80 %%, counts %v old: %.3f without draws, %.3f with", c.age, before, after)
		assert.Assert(t, after >= before+c.gain)
	}
}
