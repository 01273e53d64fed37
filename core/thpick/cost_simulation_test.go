package thpick_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
)

// policy is a way to choose targets.
type policy uint8

const (
	// constantSpread takes the cheapest target, and takes one spread for all routes.
	constantSpread policy = iota
	// learnedSpread takes the cheapest target, and learns the spread of each route.
	learnedSpread
	leastLoaded
	twoChoices
)

var policyNames = [...]string{"constant", "learned", "leastLoaded", "twoChoices"}

// simRoute describes the requests of one route.
type simRoute struct {
	median, objective time.Duration
	spread, share     float64
	idempotent        bool
}

var simRoutes = [...]simRoute{
	{100 * time.Millisecond, 500 * time.Millisecond, 0.3, 0.4, true},
	{300 * time.Millisecond, 1200 * time.Millisecond, 0.4, 0.2, true},
	{276 * time.Millisecond, time.Second, 0.55, 0.25, false},
	{870 * time.Millisecond, 4 * time.Second, 0.8, 0.15, true},
}

// costScenario is a load of a service, and what its VMs know.
type costScenario struct {
	policy policy
	// share is the work that arrives as a share of what the targets can do.
	share float64
	// uneven makes every third target half as fast.
	uneven bool
	// age is how old the counts are that VMs have of each other's requests.
	age time.Duration
	// hanging targets answer nothing for 6 s in the middle of the play.
	hanging int
	// wrong, if not zero, is the spread that VMs take for all routes in place of what they learn.
	wrong thpick.Spread
	// factor, if not zero, is by how much longer requests take from the middle of the play on.
	factor float64
	seed   uint64
}

const (
	simVMs, simTargets, simSlots, simQueue = 30, 24, 6, 24
	simWarmUp, simSpan                     = 5 * time.Second, 16 * time.Second
)

// simTarget runs requests in its slots, in the order of their arrival.
type simTarget struct {
	factor         float64
	running, count int
	waiting        []func()
	health         thhealth.Health
	// known is count as VMs know it.
	known int
	// hangsUntil is when the target ends requests again.
	hangsUntil time.Duration
}

// simVM is what one VM knows of itself.
type simVM struct {
	zone   string
	routes [len(simRoutes)]thpick.LatencyEstimate
	slots  thpick.LatencyEstimate
	// own and ownKnown are its requests at the targets, and those of them that are in simTarget.known;
	// idle are its idle connections, usable until idleUntil.
	own, ownKnown, idle [simTargets]int
	idleUntil           [simTargets]time.Duration
	requests, hedges    float64
}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type costPlay struct {
	costScenario
	rng     *rand.Rand
	now     time.Duration
	events  simEvents
	n       int
	targets [simTargets]*simTarget
	vms     []*simVM
	took    []time.Duration
	costFigures
}

// costFigures are the outcome of a play: requests, the credit that they earned, prices for connections
// and traffic between zones, and the counts of hedges and refusals.
type costFigures struct {
	asked, hedged, refused int
	credit, price          float64
	p99                    time.Duration
}

func (f costFigures) meanCredit() float64 { return f.credit / float64(f.asked) }
func (f costFigures) net() float64        { return (f.credit - f.price) / float64(f.asked) }

func (p *costPlay) instant() thclock.Instant { return thclock.At(p.now) }

func (p *costPlay) after(d time.Duration, do func()) {
	p.n++
	heap.Push(&p.events, simEvent{p.now + d, p.n, do})
}

func (c costScenario) play() costFigures {
	p := &costPlay{costScenario: c, rng: rand.New(rand.NewPCG(11, c.seed)), now: time.Hour}
	speed := 0.0
	for i := range p.targets {
		p.targets[i] = &simTarget{factor: 1}
		if c.uneven && i%3 == 0 {
			p.targets[i].factor = 2
		}
		speed += 1 / p.targets[i].factor
	}
	for i := range simVMs {
		p.vms = append(p.vms, &simVM{zone: fmt.Sprintf("z%d", i%3)})
	}
	mean := 0.0
	for _, r := range simRoutes {
		mean += r.share * r.median.Seconds() * math.Exp(r.spread*r.spread/2)
	}
	mean *= 1 + slowShare*(slowFactor-1)
	perSecond := c.share * speed * simSlots / mean
	start := p.now + simWarmUp
	end := start + simSpan
	for i := range c.hanging {
		p.after(simWarmUp+simSpan/3, func() {
			p.targets[1+i*5].hangsUntil = p.now + 6*time.Second
		})
	}
	var arrive func()
	arrive = func() {
		if p.now >= end {
			return
		}
		p.after(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		p.request(p.now >= start)
	}
	arrive()
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.do()
	}
	slices.Sort(p.took)
	p.p99 = p.took[len(p.took)*99/100]
	return p.costFigures
}

// One request in fifty takes five times as long as it would otherwise.
const slowShare, slowFactor = 0.02, 5

func (p *costPlay) workOf(r simRoute) time.Duration {
	w := float64(r.median) * math.Exp(r.spread*p.rng.NormFloat64())
	if p.rng.Float64() < slowShare {
		w *= slowFactor
	}
	if p.factor > 0 && p.now > time.Hour+simWarmUp+simSpan/2 {
		w *= p.factor
	}
	return time.Duration(w)
}

func (p *costPlay) query(vm *simVM, i int, arrived time.Duration, tried []string) thpick.Query {
	r := simRoutes[i]
	q := thpick.Query{
		Now: p.instant(), Zone: vm.zone, Retryable: r.idempotent, Bytes: 2500, Tried: tried, Priority: 1,
		ExpectedLatency: vm.routes[i].Median(r.objective), SlotTime: vm.slots.Median(r.objective), Arrived: thclock.At(arrived),
		Objective: thclock.At(arrived + r.objective), Deadline: thclock.At(arrived + 3*r.objective),
	}
	switch {
	case p.wrong > 0:
		q.Spread = p.wrong
	case p.policy == learnedSpread:
		q.Spread = vm.routes[i].Spread()
	}
	return q
}

func (p *costPlay) candidates(vm *simVM) []thpick.Candidate {
	cs := make([]thpick.Candidate, simTargets)
	for i, t := range p.targets {
		cs[i] = thpick.Candidate{
			Target: thtable.Target{ID: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%3), Slots: simSlots}, Health: t.health,
			InFlight: max(0, t.known-vm.ownKnown[i]) + vm.own[i], HasIdleConnection: vm.idle[i] > 0 && p.now < vm.idleUntil[i],
		}
	}
	return cs
}

func (p *costPlay) pick(q thpick.Query, cs []thpick.Candidate) (int, bool) {
	switch p.policy {
	case leastLoaded:
		best, least := -1, math.Inf(1)
		for i, c := range cs {
			if load := float64(c.InFlight) + p.rng.Float64(); load < least && !slices.Contains(q.Tried, c.Target.ID) {
				best, least = i, load
			}
		}
		return best, best >= 0
	case twoChoices:
		a, b := p.rng.IntN(len(cs)), p.rng.IntN(len(cs))
		if cs[b].InFlight < cs[a].InFlight {
			a = b
		}
		return a, true
	default:
		return thpick.Pick(p.rng, q, cs)
	}
}

// request sends a request of a caller through a random VM.
func (p *costPlay) request(measured bool) {
	vm, route, x := p.vms[p.rng.IntN(len(p.vms))], 0, p.rng.Float64()
	for x > simRoutes[route].share && route < len(simRoutes)-1 {
		x -= simRoutes[route].share
		route++
	}
	r, arrived := simRoutes[route], p.now
	vm.requests++
	if measured {
		p.asked++
	}
	q, cs := p.query(vm, route, arrived, nil), p.candidates(vm)
	i, ok := p.pick(q, cs)
	if _, shed := thpick.ShouldShed(q, cs[i]); shed || !ok || p.targets[i].count >= simSlots+simQueue {
		if measured {
			p.refused++
		}
		return
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if took := p.now - arrived; measured {
			p.took = append(p.took, took)
			switch {
			case took <= r.objective:
				p.credit++
			case took <= 3*r.objective:
				p.credit += 0.3
			}
		}
	}
	p.attempt(vm, route, q, cs, i, measured, answer)
	p.after(thpick.OverdueAfter(q, cs[i]), func() {
		if answered {
			return
		}
		p.targets[i].health = p.targets[i].health.WithOutcome(p.instant(), thhealth.Overdue)
		if !r.idempotent || vm.hedges >= 0.2*vm.requests+2 || p.now > arrived+3*r.objective {
			return
		}
		q, cs := p.query(vm, route, arrived, []string{cs[i].Target.ID}), p.candidates(vm)
		h, ok := p.pick(q, cs)
		if !ok || h == i || thpick.ExpectedWait(q, cs[h]) > q.ExpectedLatency || cs[h].Health.FailureProbability(q.Now) > 0.5 {
			return
		}
		vm.hedges++
		if measured {
			p.hedged++
		}
		p.attempt(vm, route, q, cs, h, measured, answer)
	})
}

// attempt sends the request to the target and calls answer when it is answered.
func (p *costPlay) attempt(vm *simVM, route int, q thpick.Query, cs []thpick.Candidate, i int, measured bool, answer func()) {
	t, c, sentAt := p.targets[i], cs[i], p.now
	if measured && !c.HasIdleConnection {
		p.price += 0.06
	}
	if measured && c.Target.Zone != q.Zone {
		p.price += 0.004 / 1024 * float64(q.Bytes)
	}
	if c.HasIdleConnection {
		vm.idle[i]--
	} else if p.now >= vm.idleUntil[i] {
		vm.idle[i] = 0
	}
	vm.own[i]++
	p.after(p.age, func() { t.known++; vm.ownKnown[i]++ })
	done := func() {
		took := p.now - sentAt
		vm.own[i]--
		vm.idle[i]++
		vm.idleUntil[i] = p.now + 12*time.Second
		p.after(p.age, func() { t.known--; vm.ownKnown[i]-- })
		vm.routes[route] = vm.routes[route].WithAnswer(took, thpick.ExpectedAt(q, c))
		vm.slots = vm.slots.WithAnswer(took, 0)
		t.health = t.health.WithOutcome(p.instant(), thhealth.Answered).WithLatencyRatio(float64(took) / float64(q.ExpectedLatency))
		answer()
	}
	run := func() {
		t.running++
		work := time.Duration(float64(p.workOf(simRoutes[route])) * t.factor)
		p.after(work, func() {
			p.after(max(0, t.hangsUntil-p.now), func() {
				t.running--
				t.count--
				if len(t.waiting) > 0 {
					next := t.waiting[0]
					t.waiting = t.waiting[1:]
					next()
				}
				done()
			})
		})
	}
	t.count++
	if t.running < simSlots {
		run()
		return
	}
	t.waiting = append(t.waiting, run)
}

// playSeeds returns the sums of the figures of some seeds, and the mean of p99.
func (c costScenario) playSeeds(seeds uint64) costFigures {
	var sum costFigures
	for c.seed = range seeds {
		f := c.play()
		sum.asked, sum.hedged, sum.refused = sum.asked+f.asked, sum.hedged+f.hedged, sum.refused+f.refused
		sum.credit, sum.price, sum.p99 = sum.credit+f.credit, sum.price+f.price, sum.p99+f.p99/time.Duration(seeds)
	}
	return sum
}

// BenchmarkLearnedSpread logs what callers earn with one spread, and by how much that changes if each
// route has its own.
func BenchmarkLearnedSpread(t *testing.B) {
	for _, c := range []costScenario{{share: 0.5}, {share: 0.8}, {share: 0.95}, {share: 0.8, hanging: 3}, {share: 0.8, factor: 3}, {share: 0.8, wrong: 0.25}, {share: 0.8, wrong: 1.25}, {share: 0.5, hanging: 3}} {
		for _, c.uneven = range []bool{false, true} {
			line := ""
			for pol := range 2 {
				c.policy = policy(pol)
				var sum, sq float64
				for c.seed = range uint64(12) {
					d := c
					d.policy, d.wrong = constantSpread, 0
					f := c.play()
					x := f.net()
					if pol == 1 {
						x -= d.play().net()
					}
					sum += x / 12
					sq += x * x / 12
				}
				f := c.playSeeds(3)
				line += fmt.Sprintf("%+.4f±%.4f hedged %.3f p99 %v   ", sum, math.Sqrt((sq-sum*sum)/11), float64(f.hedged)/float64(f.asked), f.p99)
			}
			t.Logf("%+v %s", c, line)
		}
	}
}
