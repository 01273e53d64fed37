package thbalance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

// service is what this VM knows of one service. The mutex is held for moments
// only: controllers compute on copies.
type service struct {
	f *Forwarder

	mu        sync.Mutex
	rng       *rand.Rand
	spec      thconfig.Service
	policy    thhealth.Policy
	targets   []*target
	set       throute.Set
	loads     loads
	reference thhealth.Reference
	budget    throute.Budget
	window    throute.Window
	queue     throute.Queue[*waiter]
	inFlight  int
	shrunk    thclock.Instant
	holding   bool
}

// target is one target of a service, guarded by the service's mutex.
type target struct {
	address string
	key     uint32
	spec    thconfig.Target
	row     thhealth.Row
	state   thhealth.State
	// leavingUntil is how long the target's own word that it leaves holds.
	leavingUntil thclock.Instant
	// busyUntil is set by a shed answer.
	busyUntil thclock.Instant
	// nextTrial is when an ejected target may get the next trial request.
	nextTrial thclock.Instant
	inFlight  int
	peersBusy float64
	reported  float64
	// reportedUntil bounds the trust in the reported load.
	reportedUntil thclock.Instant
}

// waiter is a request waiting for its turn.
type waiter struct {
	turn chan error
}

const (
	shrinkPause = 50 * time.Millisecond
	// minPatience is the shortest cut of one attempt.
	minPatience = 250 * time.Millisecond
	// patienceFactor is how many median latencies one attempt may take while
	// there is time for another.
	patienceFactor = 20
)

func newService(f *Forwarder, spec thconfig.Service, rng *rand.Rand) *service {
	s := &service{f: f, rng: rng}
	s.window = throute.NewWindow(float64(spec.Slots * len(spec.Targets)))
	s.loads.s = s
	s.configure(f.Clock.Now(), spec, false)
	return s
}

// configure takes in the service as it stands in the configuration.
func (s *service) configure(now thclock.Instant, spec thconfig.Service, cold bool) {
	known := make(map[string]*target, len(s.targets))
	for _, g := range s.targets {
		known[g.address] = g
	}
	s.spec, s.policy = spec, thhealth.NewPolicy(spec.Health)
	s.targets = make([]*target, 0, len(spec.Targets))
	for _, t := range s.subset(spec) {
		g := known[t.Address]
		if g == nil {
			g = &target{address: t.Address, key: thhealth.TargetKey(spec.Name, t.Address)}
			if cold {
				g.state = thhealth.Cold(now)
			}
		}
		g.spec = t
		s.targets = append(s.targets, g)
	}
	s.rebuild(now)
}

// subset returns the targets that this VM uses.
func (s *service) subset(spec thconfig.Service) []thconfig.Target { return spec.Targets }

// rebuild makes the set that picks are made from.
func (s *service) rebuild(now thclock.Instant) {
	cs := make([]throute.Candidate, len(s.targets))
	for i, g := range s.targets {
		cs[i] = g.candidate(now)
	}
	s.set = throute.NewSet(cs, s.spec.Floor)
	if holding := s.set.Held() > 0; holding != s.holding {
		s.holding = holding
		if holding {
			s.f.Log.Log(thevent.TargetFloorHeld, thevent.F("service", s.spec.Name), thevent.F("kept", s.set.Held()))
		}
	}
}

func (g *target) candidate(now thclock.Instant) throute.Candidate {
	return throute.Candidate{
		Address:  g.address,
		Gone:     g.spec.Leaving || g.leaving(now),
		Sick:     g.state.Phase == thhealth.Ejected || g.state.Phase == thhealth.Trial,
		Severity: g.state.Verdict.Severity,
		Cold:     g.state.ColdShare(now),
	}
}

func (g *target) leaving(now thclock.Instant) bool { return now.Before(g.leavingUntil) }

// enter waits for the request's turn.
func (s *service) enter(ctx context.Context, q *threquest.Request) error {
	now := s.f.Clock.Now()
	s.mu.Lock()
	if s.inFlight < s.window.Size() && s.queue.Len() == 0 {
		s.inFlight++
		s.mu.Unlock()
		return nil
	}
	w, err := s.wait(now, q)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.await(ctx, q, w, q.Deadline.Sub(now))
}

// wait queues the request, or refuses it if it cannot be served in time.
func (s *service) wait(now thclock.Instant, q *threquest.Request) (*waiter, error) {
	w := &waiter{turn: make(chan error, 1)}
	if now.Passed(q.Deadline) {
		return nil, therror.New(therror.QueueTimeout, "the deadline had passed on arrival")
	}
	if s.expectedWait(q.Customer.Name) > q.Deadline.Sub(now) {
		return nil, therror.New(therror.QueueFull, "the request would wait past its deadline")
	}
	displaced, err := s.queue.Push(throute.Waiting[*waiter]{
		Item: w, Customer: q.Customer.Name, Cost: bodyCost(q), Deadline: q.Deadline,
	})
	if err != nil {
		return nil, err
	}
	for _, d := range displaced {
		d.Item.turn <- therror.New(therror.QueueFull, "other customers' requests took the place")
	}
	return w, nil
}

// bytesPerCost is how long a body counts as one more request.
const bytesPerCost = 256 << 10

func bodyCost(q *threquest.Request) float64 { return 1 + float64(len(q.Body))/bytesPerCost }

func (s *service) expectedWait(customer string) time.Duration {
	ahead := s.queue.Ahead(customer)
	return time.Duration(float64(ahead) * float64(s.reference.Median()) / float64(s.window.Size()))
}

func (s *service) await(ctx context.Context, q *threquest.Request, w *waiter, left time.Duration) error {
	t := time.NewTimer(left)
	defer t.Stop()
	var gone error
	select {
	case err := <-w.turn:
		return err
	case <-t.C:
		gone = therror.New(therror.QueueTimeout, "no target was free before the deadline")
	case <-ctx.Done():
		gone = ended(ctx)
	}
	s.mu.Lock()
	removed := s.queue.Remove(q.Customer.Name, func(o *waiter) bool { return o == w })
	s.mu.Unlock()
	if removed {
		return gone
	}
	// The turn came at the same moment: hand it on.
	if err := <-w.turn; err != nil {
		return err
	}
	s.leave(q, 0)
	return gone
}

// leave ends the request's turn and gives it to those who wait.
func (s *service) leave(q *threquest.Request, took time.Duration) {
	now := s.f.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if m := s.reference.Median(); m > 0 && s.queue.Len() > 0 {
		s.queue.Charge(q.Customer.Name, float64(took)/float64(m)-1)
	}
	for s.inFlight < s.window.Size() {
		next, expired, ok := s.queue.Pop(now)
		for _, e := range expired {
			e.Item.turn <- therror.New(therror.QueueTimeout, "no target was free before the deadline")
		}
		if !ok {
			return
		}
		s.inFlight++
		next.Item.turn <- nil
	}
}

// loads is what a pick needs to know of the moment.
type loads struct {
	s   *service
	t   *try
	now thclock.Instant
}

const (
	// busyLoad is what a target that just shed a request counts more by.
	busyLoad = 8
	// reportWeight is how far a load that may be stale or a lie is believed.
	reportWeight = 0.5
	// reportMax bounds it, in slots.
	reportMax = 2.0
)

// Load is the work expected at a target.
func (l *loads) Load(i int) float64 {
	g := l.s.targets[i]
	load := float64(g.inFlight) + g.peersBusy
	if l.now.Before(g.reportedUntil) {
		load += reportWeight * min(g.reported, reportMax*float64(l.s.spec.Slots))
	}
	if l.now.Before(g.busyUntil) {
		load += busyLoad
	}
	return load
}

// Tried is whether the request was sent to the target already.
func (l *loads) Tried(i int) bool { return l.t.triedTarget(l.s.targets[i]) }

// pick chooses the target of the next attempt.
func (s *service) pick(now thclock.Instant, t *try) (*target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.trial(now, t)
	if !ok {
		s.loads.t, s.loads.now = t, now
		var i int
		i, ok = s.set.Pick(s.rng, &s.loads)
		s.loads.t = nil
		if !ok {
			return nil, false
		}
		g = s.targets[i]
	}
	g.inFlight++
	t.tried = append(t.tried, g)
	return g, true
}

// trialsPerSecond is how many trial requests all VMs together send to an
// ejected target.
const trialsPerSecond = 5

// trial chooses an ejected target whose next trial is due, for the first
// attempt of a request that may be repeated.
func (s *service) trial(now thclock.Instant, t *try) (*target, bool) {
	if t.count > 0 || len(s.set.Ejected()) == 0 || !t.request.RepeatSafe() {
		return nil, false
	}
	for _, i := range s.set.Ejected() {
		g := s.targets[i]
		if g.state.Phase != thhealth.Trial || g.inFlight > 0 || now.Before(g.nextTrial) {
			continue
		}
		gap := float64(max(1, s.f.Roster().Len())) / trialsPerSecond
		g.nextTrial = now.Add(time.Duration(gap * (0.5 + s.rng.Float64()) * float64(time.Second)))
		return g, true
	}
	return nil, false
}

// patience is how long one attempt may take: all the time left if it cannot be
// repeated, else long enough for a slow answer.
func (s *service) patience(now thclock.Instant, q *threquest.Request, attempts int) time.Duration {
	left := q.Deadline.Sub(now)
	if !q.RepeatSafe() || attempts > 0 {
		return left
	}
	s.mu.Lock()
	m := s.reference.Median()
	s.mu.Unlock()
	if m == 0 {
		return left
	}
	return min(left, max(left/2, min(left, max(patienceFactor*m, minPatience))))
}

// settle records an attempt and decides what follows.
func (s *service) settle(t *try, g *target, a threquest.Attempt, blamed bool) throute.Decision {
	d := throute.AfterAttempt(t.request, a, t.count)
	now := a.Ended
	s.mu.Lock()
	defer s.mu.Unlock()
	g.inFlight--
	s.observe(now, g, t, a, blamed)
	r, again := d.(throute.Repeat)
	if !again {
		return d
	}
	budget, ok := s.budget.WithRepeat(r.Cost)
	if !ok {
		return throute.WithoutBudget(t.request, a)
	}
	s.budget = budget
	return r
}

// observe takes in what the attempt shows of the target and of the service.
func (s *service) observe(now thclock.Instant, g *target, t *try, a threquest.Attempt, blamed bool) {
	took := a.Ended.Sub(a.Began)
	if throute.IsShed(t.request, a) {
		s.shed(now, g, t)
		return
	}
	s.hear(now, g, a.Answer)
	o := thhealth.Classify(a, s.reference.SlowAfter(s.policy))
	if blamed {
		o = thhealth.None
	}
	g.row.Observe(now, o, took)
	if o != thhealth.Good && o != thhealth.Slow {
		return
	}
	if g.state.Phase == thhealth.Healthy || g.state.Phase == thhealth.Warming {
		s.reference = s.reference.WithLatency(took)
	}
	s.budget = s.budget.WithSuccess()
	if s.inFlight >= s.window.Size() {
		s.window = s.window.WithSuccess(s.spec.Slots * len(s.targets))
	}
}

// shedBelieved is how long a target that shed a request is taken to be busy.
const shedBelieved = 20 * time.Millisecond

// shed believes the target and does not hold it against it. Only a request
// that several targets shed says that the service as a whole is busy.
func (s *service) shed(now thclock.Instant, g *target, t *try) {
	g.busyUntil = now.Add(shedBelieved)
	if t.count < 2 || now.Before(s.shrunk.Add(shrinkPause)) {
		return
	}
	s.window = s.window.WithShed()
	s.shrunk = now
}
