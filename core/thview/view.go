// Package thview is the blackboard of one VM: the targets, what is believed of
// them, the other VMs, limits and budgets. Requests and notices of other VMs
// write to it; picks, refusals and the VM's own notices are read off it.
//
// A View is pure: time and randomness are arguments. It is not safe for
// concurrent use; package thforward guards it with one lock.
package thview

import (
	"math"
	"math/rand/v2"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thquarantine"
	"tamarackhollow/core/thquota"
	"tamarackhollow/core/thtable"
)

// target is what is known of one target.
type target struct {
	thtable.Target
	key       thfleet.Key
	belief    thjudge.Belief
	inFlight  int
	coldUntil thclock.Instant
	// usedAt is when a VM last had a request at the target.
	usedAt thclock.Instant
	// failedAt is when a request last failed there.
	failedAt thclock.Instant
	// suspect is whether the target was told to be suspect.
	suspect bool
}

// service is a set of targets and its budget of repeats.
type service struct {
	key     thfleet.Key
	targets []*target
	budget  thpick.Budget
	floor   thpick.Floor
	// repeats and refused are the totals of this VM's repeats and refusals.
	repeats, refused uint32
}

// customer is what is left of a customer's limit.
type customer struct {
	limit  thquota.Limit
	bucket thquota.Bucket
	// admitted is the total of the requests that this VM admitted.
	admitted uint32
}

// Options are what a View is made of.
type Options struct {
	Self   thfleet.Identity
	Budget thpick.BudgetRule
	// FloorShare is the share of a service's targets that stays in use while
	// the service loses requests, 0 to 1.
	FloorShare float64
	// Start is when the VM started, in Unix milliseconds.
	Start uint64
	// HasIdle reports whether this VM has an idle connection to a target; nil
	// means that it has none.
	HasIdle func(id string, repeatable bool) bool
	Rand    *rand.Rand
	// Changed is told when a target becomes suspect or is cleared; nil tells
	// nobody. It is called in the middle of a change and must not call back.
	Changed func(s Standing)
}

// View is one VM's blackboard. Make one with New.
type View struct {
	options   Options
	Fleet     *thfleet.Fleet
	targets   map[string]*target
	byKey     map[thfleet.Key]*target
	services  map[string]*service
	byService map[thfleet.Key]*service
	customers map[thfleet.Key]*customer
	estimates map[string]thpick.Estimate
	shares    map[string]*shares
	outbox    outbox
	// quarantine holds the requests that coincided with deaths of targets.
	quarantine thquarantine.Table
	sweptAt    thclock.Instant
	cs         []thpick.Candidate
}

// New returns the view of a VM that knows nothing yet.
func New(o Options) *View {
	return &View{
		options:   o,
		Fleet:     thfleet.New(o.Self),
		targets:   make(map[string]*target),
		byKey:     make(map[thfleet.Key]*target),
		services:  make(map[string]*service),
		byService: make(map[thfleet.Key]*service),
		customers: make(map[thfleet.Key]*customer),
		estimates: make(map[string]thpick.Estimate),
		shares:    make(map[string]*shares),
		outbox:    newOutbox(o),
	}
}

// SetTargets takes in a list of targets. What is known of those that stay is
// kept.
func (v *View) SetTargets(now thclock.Instant, ts []thtable.Target) {
	before := v.targets
	v.targets = make(map[string]*target, len(ts))
	clear(v.byKey)
	for _, s := range v.services {
		s.targets = nil
	}
	for _, t := range ts {
		k := before[t.ID]
		if k == nil || k.StartMillis != t.StartMillis {
			k = &target{key: thfleet.KeyOf(t.ID), coldUntil: now.Add(time.Duration(t.WarmupMillis) * time.Millisecond)}
		}
		k.Target = t
		v.targets[t.ID] = k
		v.byKey[k.key] = k
		s := v.service(t.Service)
		s.targets = append(s.targets, k)
	}
}

func (v *View) service(name string) *service {
	s := v.services[name]
	if s == nil {
		s = &service{key: thfleet.KeyOf(name)}
		v.services[name] = s
		v.byService[s.key] = s
	}
	return s
}

// SetTable takes in the limits of a routing table.
func (v *View) SetTable(t thtable.Table) {
	for _, c := range t.Document().Customers {
		v.customer(c).limit = thquota.Limit{Rate: c.Rate, Burst: c.Burst}
	}
}

func (v *View) customer(c thtable.Customer) *customer {
	key := thfleet.KeyOf(c.Name)
	k := v.customers[key]
	if k == nil {
		k = &customer{limit: thquota.Limit{Rate: c.Rate, Burst: c.Burst}}
		v.customers[key] = k
	}
	return k
}

// SetRules replaces the bound on repeats and the floor.
func (v *View) SetRules(budget thpick.BudgetRule, floorShare float64) {
	v.options.Budget, v.options.FloorShare = budget, floorShare
}

// Admit counts a request on the route against its customer's limit. If it is
// over the limit, the time after which it may be repeated is returned.
func (v *View) Admit(now thclock.Instant, c thtable.Customer, r thtable.Route) (wait time.Duration, ok bool) {
	k := v.customer(c)
	share := thquota.Share(v.Fleet.Size(now))
	k.bucket, ok = k.bucket.WithRequest(now, k.limit, share)
	if !ok {
		for _, b := range r.Backends {
			v.noteRefusal(now, v.service(b.Service))
		}
		return k.bucket.Wait(k.limit, share), false
	}
	k.admitted++
	v.outbox.admitted[thfleet.KeyOf(c.Name)] = k.admitted
	return 0, true
}

// Picked is a target that was picked for a request, and why.
type Picked struct {
	Target thtable.Target
	// Bad and InFlight are what was known of the target.
	Bad      float64
	InFlight int
	// Expected is the median time that the answer was expected to take.
	Expected time.Duration
	key      thfleet.Key
}

// Refusal says why no target was picked.
type Refusal struct {
	// Overloaded is set if there are targets, but all are too busy.
	Overloaded bool
	// After is when it may be worth trying again.
	After time.Duration
}

// Pick picks a target for the request and counts the request as in flight
// there; Finish must follow. Tried are the targets that the request was sent to.
func (v *View) Pick(now thclock.Instant, q *thmessage.Request, name string, tried []string, repeatable bool) (Picked, *Refusal) {
	s := v.service(name)
	query := v.query(now, q, s, tried, repeatable)
	i, ok := thpick.Pick(v.options.Rand, query, v.cs)
	if !ok {
		return Picked{}, &Refusal{After: retryAfterNone}
	}
	if spread, ok := thpick.Spread(query, v.cs, v.options.FloorShare, s.floor.Holds(now), i); ok {
		i = spread
	}
	if wait, over := thpick.Overloaded(query, v.cs[i]); over && len(tried) == 0 {
		v.noteRefusal(now, s)
		return Picked{}, &Refusal{Overloaded: true, After: wait}
	}
	return v.take(now, s, query, i), nil
}

// PickBeside picks a target for a further attempt beside one that is under way,
// as Pick does, but only one with a short wait: under overload, second attempts
// would add to it.
func (v *View) PickBeside(now thclock.Instant, q *thmessage.Request, name string, tried []string, repeatable bool) (Picked, bool) {
	s := v.service(name)
	query := v.query(now, q, s, tried, repeatable)
	i, ok := thpick.Pick(v.options.Rand, query, v.cs)
	if !ok || thpick.Wait(query, v.cs[i]) > query.Expected || v.cs[i].Belief.Bad(now) > suspectBad {
		return Picked{}, false
	}
	return v.take(now, s, query, i), true
}

// query returns the question of which target to pick, and fills the candidates.
func (v *View) query(now thclock.Instant, q *thmessage.Request, s *service, tried []string, repeatable bool) thpick.Query {
	v.cs = v.cs[:0]
	for _, t := range s.targets {
		v.cs = append(v.cs, v.candidate(now, t, q.Route.IsIdempotent()))
	}
	return thpick.Query{
		Now: now, Zone: v.options.Self.Zone, Repeatable: repeatable, Bytes: len(q.Body) + answerBytes,
		Expected: v.Expected(q.Route), Objective: q.Objective, Deadline: q.Deadline,
		Priority: priorityOf(q), Tried: tried, Scarcity: s.budget.Scarcity(now, v.options.Budget),
	}
}

// take counts the request as in flight at the candidate.
func (v *View) take(now thclock.Instant, s *service, query thpick.Query, i int) Picked {
	t := s.targets[i]
	t.inFlight++
	t.usedAt = now
	v.outbox.loads[t.key] = uint16(min(t.inFlight, math.MaxUint16))
	s.budget = s.budget.WithAttempts(now, v.options.Budget, 1)
	if len(query.Tried) > 0 {
		s.budget = s.budget.WithRepeats(now, v.options.Budget, 1)
		s.repeats++
		v.outbox.repeats[s.key] = s.repeats
	}
	return Picked{Target: t.Target, Bad: v.cs[i].Belief.Bad(now), InFlight: v.cs[i].InFlight, Expected: query.Expected, key: t.key}
}

const (
	// answerBytes is about how long an answer is.
	answerBytes = 1500
	// retryAfterNone is when it may be worth trying again if a service has no
	// target: the list of targets is read twice a second.
	retryAfterNone = 500 * time.Millisecond
)

// priorityOf returns the customer's rank, which goes before the route's.
func priorityOf(q *thmessage.Request) int {
	if q.Customer.Name == "" {
		return q.Route.Priority
	}
	return q.Customer.Priority
}

func (v *View) candidate(now thclock.Instant, t *target, repeatable bool) thpick.Candidate {
	c := thpick.Candidate{
		Target: t.Target, Belief: t.belief, ColdUntil: t.coldUntil,
		InFlight: t.inFlight + v.Fleet.InFlight(now, t.key), UsedAt: t.usedAt, FailedAt: t.failedAt,
	}
	if v.options.HasIdle != nil {
		c.Connected = v.options.HasIdle(t.ID, repeatable)
	}
	return c
}

// Affords reports whether the service's budget has room for one more repeat.
func (v *View) Affords(now thclock.Instant, name string) bool {
	return v.service(name).budget.Affords(now, v.options.Budget)
}

// Expected returns the usual time of the route's answers.
func (v *View) Expected(r thtable.Route) time.Duration {
	return v.estimates[r.Name].Median(time.Duration(r.LatencyObjectiveMillis) * time.Millisecond)
}

// Finish takes in how an attempt ended.
func (v *View) Finish(now thclock.Instant, p Picked, q *thmessage.Request, o thjudge.Outcome, took time.Duration) {
	end := thfleet.End{Target: p.key, Outcome: o, Pace: thfleet.PaceUnknown}
	if o == thjudge.Answered {
		v.estimates[q.Route.Name] = v.estimates[q.Route.Name].WithAnswer(took)
		end.Pace = encodePace(float64(took) / float64(max(p.Expected, 1)))
	}
	v.outbox.ends = append(v.outbox.ends, end)
	v.noteDeath(now, p, q, o)
	t := v.byKey[p.key]
	if t == nil {
		return
	}
	t.inFlight--
	v.outbox.loads[t.key] = uint16(min(max(t.inFlight, 0), math.MaxUint16))
	v.believe(now, t, withEnd(t.belief.WithOutcome(now, o), end))
	v.noteEnd(now, t, end)
}

// Overdue takes in that an attempt takes far longer than it should.
func (v *View) Overdue(now thclock.Instant, p Picked) {
	end := thfleet.End{Target: p.key, Outcome: thjudge.Overdue, Pace: thfleet.PaceUnknown}
	v.outbox.ends = append(v.outbox.ends, end)
	if t := v.byKey[p.key]; t != nil {
		v.believe(now, t, t.belief.WithOutcome(now, thjudge.Overdue))
		v.noteEnd(now, t, end)
	}
}

// believe replaces the belief in a target, and tells if that made it suspect
// or cleared it.
func (v *View) believe(now thclock.Instant, t *target, b thjudge.Belief) {
	t.belief = b
	suspect := b.Bad(now) > suspectBad
	if suspect == t.suspect {
		return
	}
	t.suspect = suspect
	if v.options.Changed != nil {
		v.options.Changed(v.standing(now, t))
	}
}

// noteRefusal counts a request to the service that this VM refused.
func (v *View) noteRefusal(now thclock.Instant, s *service) {
	s.floor = s.floor.WithLost(now, 1)
	s.refused++
	v.outbox.refused[s.key] = s.refused
}

// noteEnd counts an attempt's end for its service's floor.
func (v *View) noteEnd(now thclock.Instant, t *target, e thfleet.End) {
	s := v.services[t.Service]
	if s == nil {
		return
	}
	switch e.Outcome {
	case thjudge.Answered:
		s.floor = s.floor.WithGood(now)
	case thjudge.Failed, thjudge.Cut, thjudge.Silent:
		s.floor = s.floor.WithLost(now, 1)
		t.failedAt = now
	case thjudge.Overdue:
		s.floor = s.floor.WithLost(now, 1)
	default:
		// The others did not run and are mostly sent elsewhere.
	}
}

// paceSteps is how many steps a pace has per doubling.
const paceSteps = 8

func encodePace(ratio float64) int8 {
	return int8(max(-127, min(127, math.Round(paceSteps*math.Log2(max(ratio, 1e-6))))))
}

func withEnd(b thjudge.Belief, e thfleet.End) thjudge.Belief {
	if e.Pace == thfleet.PaceUnknown {
		return b
	}
	return b.WithPace(math.Exp2(float64(e.Pace) / paceSteps))
}

// Receive takes in another VM's notice, and returns what it added.
func (v *View) Receive(now thclock.Instant, n thfleet.Notice) thfleet.News {
	news := v.Fleet.Receive(now, n)
	v.receiveDeaths(now, news)
	for _, e := range news.Ends {
		if t := v.byKey[e.Target]; t != nil {
			v.believe(now, t, withEnd(t.belief.WithReport(now, e.Outcome), e))
			v.noteEnd(now, t, e)
			if e.Outcome == thjudge.Overdue {
				continue // the attempt's end will follow
			}
			t.usedAt = t.usedAt.Later(now)
			s := v.service(t.Service)
			s.budget = s.budget.WithAttempts(now, v.options.Budget, 1)
		}
	}
	for _, l := range n.Loads {
		if t := v.byKey[l.Target]; t != nil && l.InFlight > 0 {
			t.usedAt = now
		}
	}
	share := thquota.Share(v.Fleet.Size(now))
	for _, a := range news.Admitted {
		if c := v.customers[a.Key]; c != nil {
			c.bucket = c.bucket.WithReport(now, c.limit, share, float64(a.Count))
		}
	}
	for _, r := range news.Refused {
		if s := v.byService[r.Key]; s != nil {
			s.floor = s.floor.WithLost(now, float64(r.Count))
		}
	}
	for _, r := range news.Repeats {
		if s := v.byService[r.Key]; s != nil {
			s.budget = s.budget.WithRepeats(now, v.options.Budget, float64(r.Count))
		}
	}
	return news
}
