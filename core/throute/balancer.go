package throute

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
)

// Balancer is what one VM knows and decides about one service: who is next,
// which target is picked, what follows an attempt, and which targets are sick.
// W is the caller's handle on a waiting request. A Balancer is not safe for
// concurrent use; make one with NewBalancer.
type Balancer[W comparable] struct {
	spec      thconfig.Service
	policy    thhealth.Policy
	targets   []*target
	set       Set
	loads     loads
	rng       *rand.Rand
	reference thhealth.Reference
	budget    Budget
	window    Window
	queue     Queue[W]
	inFlight  int
	// turns counts the requests in flight by customer.
	turns map[string]int
	// turnTime is the mean time of the last turns.
	turnTime time.Duration
	vms      int
	shrunk   thclock.Instant
	holding  bool
	notices  []Notice
	// stirred is whether there is bad news since the targets were judged.
	stirred bool
	judged  thclock.Instant
}

// Notice is an event to be logged.
type Notice struct {
	ID     thevent.ID
	Fields []thevent.Field
}

const shrinkPause = 50 * time.Millisecond

// NewBalancer returns the balancer of a service whose targets are taken to be
// warm. The source of randomness becomes the balancer's own.
func NewBalancer[W comparable](now thclock.Instant, spec thconfig.Service, p Place, rng *rand.Rand) *Balancer[W] {
	b := &Balancer[W]{rng: rng}
	b.Configure(now, spec, p)
	b.window = NewWindow(float64(b.slots()))
	return b
}

// Configure takes in the service as it stands in the configuration, and the
// VM's place among the others. Targets that the service did not have before
// begin cold.
func (b *Balancer[W]) Configure(now thclock.Instant, spec thconfig.Service, p Place) {
	known := make(map[string]*target, len(b.targets))
	for _, g := range b.targets {
		known[g.address] = g
	}
	before := b.spec
	b.stirred = true
	b.spec, b.policy, b.vms = spec, thhealth.NewPolicy(spec.Health), max(1, p.VMs)
	b.targets = make([]*target, 0, len(spec.Targets))
	for _, t := range p.Subset(spec) {
		g := known[t.Address]
		if g == nil {
			g = &target{address: t.Address, key: thhealth.TargetKey(spec.Name, t.Address)}
			if len(before.Targets) > 0 && !hasTarget(before, t.Address) {
				g.state = thhealth.Cold(now)
			}
		}
		g.spec = t
		b.targets = append(b.targets, g)
	}
	b.rebuild(now)
}

func hasTarget(s thconfig.Service, address string) bool {
	return slices.ContainsFunc(s.Targets, func(t thconfig.Target) bool { return t.Address == address })
}

func (b *Balancer[W]) slots() int { return max(1, b.spec.Slots*len(b.targets)) }

// rebuild makes the set that picks are made from.
func (b *Balancer[W]) rebuild(now thclock.Instant) {
	cs := make([]Candidate, len(b.targets))
	for i, g := range b.targets {
		cs[i] = g.candidate(now)
	}
	b.set = NewSet(cs, b.spec.Floor)
	if held := b.set.Held() > 0; held != b.holding {
		b.holding = held
		if held {
			b.notify(thevent.TargetFloorHeld, thevent.F("kept", b.set.Held()))
		}
	}
}

func (b *Balancer[W]) notify(id thevent.ID, fields ...thevent.Field) {
	b.notices = append(b.notices, Notice{id, append([]thevent.Field{thevent.F("service", b.spec.Name)}, fields...)})
}

// Notices returns what is to be logged since the last call.
func (b *Balancer[W]) Notices() []Notice {
	ns := b.notices
	b.notices = nil
	return ns
}

// Service returns the service as the configuration has it.
func (b *Balancer[W]) Service() thconfig.Service { return b.spec }

// Set returns the set that picks are made from.
func (b *Balancer[W]) Set() Set { return b.set }

// EnterNow gives a request its turn at once, and returns false if it has to
// wait. One turn beyond the window is kept for customers that have no other
// request under way, so that a customer with many cannot hold them up.
func (b *Balancer[W]) EnterNow(q *threquest.Request) bool {
	size := b.window.Size()
	switch {
	case b.inFlight < size && b.queue.Len() == 0:
	case b.inFlight <= size && b.turns[q.Customer.Name] == 0 && b.queue.Waiting(q.Customer.Name) == 0:
	default:
		return false
	}
	b.begin(q.Customer.Name)
	return true
}

func (b *Balancer[W]) begin(customer string) {
	b.inFlight++
	if b.turns == nil {
		b.turns = make(map[string]int)
	}
	b.turns[customer]++
}

func (b *Balancer[W]) finish(customer string) {
	b.inFlight--
	if b.turns[customer]--; b.turns[customer] <= 0 {
		delete(b.turns, customer)
	}
}

// Wait queues the request under the handle, or refuses it if it cannot be
// served in time. Requests that lose their place in the queue to it are
// returned.
func (b *Balancer[W]) Wait(now thclock.Instant, q *threquest.Request, w W) (displaced []W, err error) {
	if now.Passed(q.Deadline) {
		return nil, therror.New(therror.QueueTimeout, "the deadline had passed on arrival")
	}
	if b.expectedWait(q.Customer.Name) > q.Deadline.Sub(now) {
		return nil, therror.New(therror.QueueFull, "the request would wait past its deadline")
	}
	dropped, err := b.queue.Push(Waiting[W]{Item: w, Customer: q.Customer.Name, Cost: bodyCost(q), Deadline: q.Deadline, Since: now})
	for _, d := range dropped {
		displaced = append(displaced, d.Item)
	}
	return displaced, err
}

// bytesPerCost is how long a body counts as one more request.
const bytesPerCost = 256 << 10

func bodyCost(q *threquest.Request) float64 { return 1 + float64(len(q.Body))/bytesPerCost }

func (b *Balancer[W]) expectedWait(customer string) time.Duration {
	ahead := float64(b.queue.Ahead(customer))
	return time.Duration(ahead*float64(b.turnTime)/float64(b.window.Size())) + b.leastTime()
}

// leastTime is how long an answer takes at the least, about. A request with
// less time left is refused rather than run for nothing.
func (b *Balancer[W]) leastTime() time.Duration { return b.reference.Median() * 3 / 2 }

const (
	// staleFactor and minStale say when a queue is served newest first: many
	// median latencies, so that a short burst keeps its order.
	staleFactor = 4
	minStale    = 100 * time.Millisecond
)

// turnMemory is how many turns their mean time remembers.
const turnMemory = 32

// Cancel takes a waiting request out of the queue, and returns false if its
// turn has come or it was refused already.
func (b *Balancer[W]) Cancel(q *threquest.Request, w W) bool {
	return b.queue.Remove(q.Customer.Name, func(o W) bool { return o == w })
}

// Leave ends a request's turn, which took the given time. It returns those
// whose turn has come and those whose deadline passed while they waited.
func (b *Balancer[W]) Leave(now thclock.Instant, q *threquest.Request, took time.Duration) (turns, expired []W) {
	b.finish(q.Customer.Name)
	b.turnTime += (took - b.turnTime) / turnMemory
	late := now.Add(b.leastTime())
	b.queue.Stale = max(staleFactor*b.reference.Median(), minStale)
	if m := b.reference.Median(); m > 0 && b.queue.Len() > 0 {
		b.queue.Charge(q.Customer.Name, float64(took)/float64(m)-1)
	}
	for b.inFlight < b.window.Size() && b.queue.Len() > 0 {
		next, overdue, ok := b.queue.Pop(late)
		for _, e := range overdue {
			expired = append(expired, e.Item)
		}
		if !ok {
			break
		}
		b.begin(next.Customer)
		turns = append(turns, next.Item)
	}
	return turns, expired
}

// loads is what a pick needs to know of the moment.
type loads struct {
	targets []*target
	slots   int
	t       *Try
	now     thclock.Instant
}

func (l *loads) Load(i int) float64 { return l.targets[i].load(l.now, l.slots) }
func (l *loads) Tried(i int) bool   { return l.t.triedTarget(l.targets[i]) }

// Pick chooses the target of the next attempt. It fails with NoTarget if every
// target is leaving, and with QueueTimeout if too little time is left.
func (b *Balancer[W]) Pick(now thclock.Instant, t *Try) (address string, err error) {
	if now.Add(b.leastTime()).Passed(t.Request.Deadline) {
		return "", therror.New(therror.QueueTimeout, "too little time is left for an answer")
	}
	g := b.trial(now, t)
	t.trial = g != nil
	if g == nil {
		b.loads = loads{targets: b.targets, slots: b.spec.Slots, t: t, now: now}
		i, ok := b.set.Pick(b.rng, &b.loads)
		b.loads.t = nil
		if !ok {
			return "", therror.New(therror.NoTarget, "service %s has no target that takes work", b.spec.Name)
		}
		g = b.targets[i]
	}
	g.inFlight++
	t.addTarget(g)
	return g.address, nil
}

// trialsPerSecond is how many trial requests all VMs together send to an
// ejected target.
const trialsPerSecond = 3

// trial chooses an ejected target whose next trial is due, for the first
// attempt of a request that may be repeated.
func (b *Balancer[W]) trial(now thclock.Instant, t *Try) *target {
	if t.count > 0 || len(b.set.Ejected()) == 0 || !t.Request.RepeatSafe() {
		return nil
	}
	for _, i := range b.set.Ejected() {
		g := b.targets[i]
		if g.state.Phase != thhealth.Trial || g.inFlight > 0 || now.Before(g.nextTrial) {
			continue
		}
		gap := float64(b.vms) / trialsPerSecond * (0.5 + b.rng.Float64())
		g.nextTrial = now.Add(time.Duration(gap * float64(time.Second)))
		return g
	}
	return nil
}

const (
	// minPatience is the shortest cut of an attempt that may be repeated.
	minPatience = 250 * time.Millisecond
	// patienceFactor and shortPatience are how many median latencies such an
	// attempt may take, and how many it gets at the least.
	patienceFactor = 20
	shortPatience  = 8
)

// Patience is how long the next attempt may take: all the time left if it
// cannot be repeated, else less, so that there is time for another.
func (b *Balancer[W]) Patience(now thclock.Instant, t *Try) time.Duration {
	left := t.Request.Deadline.Sub(now)
	m := b.reference.Median()
	if !t.Request.RepeatSafe() || t.count > 0 || m == 0 {
		return left
	}
	if t.trial {
		return min(left/2, b.reference.StalledAfter(b.policy))
	}
	cut := min(max(patienceFactor*m, minPatience), left/2)
	if cut < shortPatience*m {
		return left
	}
	return cut
}
