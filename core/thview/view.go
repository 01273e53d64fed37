// Package thview holds the view of one VM: the targets and their health, the
// other VMs, customers' rate limits and retry budgets. Requests of this VM and
// notices of other VMs update it; target picks, refusals and this VM's own
// notices are derived from it.
//
// A View reads no clock and does no I/O: times are passed as arguments, and
// Options holds the source of randomness. It is not safe for concurrent use;
// package thforward guards it with one lock.
package thview

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thquarantine"
	"tamarackhollow/core/thquota"
	"tamarackhollow/core/thtable"
)

// target holds what this VM knows of one target.
type target struct {
	thtable.Target
	key    thfleet.Key
	health thhealth.Health
	// ownInFlight is the number of this VM's requests in flight at the target.
	ownInFlight int
	// listedAt is when the target, or its latest process, was first listed.
	listedAt    thclock.Instant
	warmupUntil thclock.Instant
	// isCold is set while the target warms up and its service has a bound for that time. Then
	// ownsPart is set if this VM owns a part of the bound, which it gives out at the pace.
	isCold, ownsPart bool
	pace             thquota.Pace
	// usedAt is when any VM last began a request at the target.
	usedAt thclock.Instant
	// failedAt is when a request last failed at the target.
	failedAt thclock.Instant
	// leaving is set if the target has said that it leaves.
	leaving bool
	// isEvacuated is set if the target is in an evacuated zone.
	isEvacuated bool
	// pausedUntil is when this VM may use the target again, which has asked for a pause.
	pausedUntil thclock.Instant
	// pauseIgnored is set if the target has asked for a pause that could not be read.
	pauseIgnored bool
	// load is what the target reported of its load.
	load targetLoad
	// suspect is whether the target was last reported to OnSuspectChange as
	// suspect.
	suspect bool
}

// service holds a service's targets, its retry budget and its floor.
type service struct {
	name string
	key  thfleet.Key
	// targets are in the order of their keys.
	targets     []*target
	ringsByZone map[string]*rings
	// onRings holds the targets that stand on the rings.
	onRings     []*target
	cold        coldState
	retryBudget thpick.RetryBudget
	floor       thpick.Floor
	// demand divides the work of this VM's requests by their urgency.
	demand thpick.Demand
	// countError is by how much the requests expected at the targets differ from their reports.
	countError thpick.CountError
	// throughput is how fast this VM's requests get a slot that are not the most urgent ones.
	throughput thpick.Throughput
	// fairness divides what is answered among the customers of this VM's requests.
	fairness thpick.Fairness
	// slotTime estimates the latency of the answers of all routes.
	slotTime thpick.LatencyEstimate
	// floorEnforced is what was last reported to OnFloorChange.
	floorEnforced bool
	// retries and refused are the totals of this VM's retries and refusals.
	retries, refused uint32
	// borrowAt is when this VM may ask other VMs again to lend it a part of their
	// retry budgets.
	borrowAt thclock.Instant
}

// Options configures a View.
type Options struct {
	Self            thfleet.Identity
	RetryBudgetRule thpick.RetryBudgetRule
	// FloorShare is the share of a service's targets that stays in use while
	// requests to the service fail, 0 to 1.
	FloorShare float64
	// StartMillis is when the VM started, in Unix milliseconds.
	StartMillis uint64
	// StartedAt is the same time by this VM's clocks; its retry budgets are empty then.
	// The zero Instant stands for a time long ago.
	StartedAt thclock.Instant
	// HasIdleConnection reports whether this VM has an idle connection to a
	// target that the request can use; nil means that it has none.
	HasIdleConnection func(id string, idempotent bool) bool
	Rand              *rand.Rand
	// OnSuspectChange is called when a target becomes suspect or is cleared; it
	// may be nil. It is called while the View is being changed and must not call
	// back into it.
	OnSuspectChange func(s TargetStatus)
	// OnLeaving is called when this VM learns from a target, or from another VM if reported
	// is set, that the target leaves, as OnSuspectChange is.
	OnLeaving func(t thtable.Target, reported bool)
	// OnColdChange is called when a target becomes cold or warm whose service bounds the rate of
	// cold targets, as OnSuspectChange is.
	OnColdChange func(s TargetStatus)
	// OnFloorChange is called when this VM begins or ceases to enforce the floor of a
	// service, as OnSuspectChange is.
	OnFloorChange func(s FloorStatus)
}

// View is one VM's view of targets, peers and limits. Make one with New.
type View struct {
	options Options
	// Fleet holds what this VM knows of the other VMs.
	Fleet         *thfleet.Fleet
	targets       map[string]*target
	targetsByKey  map[thfleet.Key]*target
	services      map[string]*service
	servicesByKey map[thfleet.Key]*service
	customers     map[thfleet.Key]*customer
	// emptyParts holds the parts of limits whose owners have no tokens.
	emptyParts thquota.EmptyParts
	// estimates and backendSequences are keyed by route name.
	estimates        map[string]thpick.LatencyEstimate
	backendSequences map[string]*backendSequence
	outbox           outbox
	// quarantine holds the requests that coincided with crashes of targets.
	quarantine thquarantine.Table
	sweptAt    thclock.Instant
	// evacuated holds the availability zones whose targets get no requests.
	evacuated []string
	coldShare coldShare
	// firstListedAt is when this VM got its first list of targets.
	firstListedAt thclock.Instant
	// candidates holds the candidates of the latest pick, and candidateTargets their
	// targets; each pick reuses them.
	candidates       []thpick.Candidate
	candidateTargets []*target
	// partsGeneration is the generation of the live VMs for which dropLostParts was last
	// done.
	partsGeneration uint64
	// joined is set once this VM knows the members of the fleet, at joinedAt.
	joined   bool
	joinedAt thclock.Instant
	// settled is set once this VM may take a role other than thfleet.Follower, at
	// settledAt.
	settled   bool
	settledAt thclock.Instant
}

// New returns the view of a VM that knows no targets and no other VMs yet.
func New(o Options) *View {
	return &View{
		options:          o,
		Fleet:            thfleet.New(o.Self),
		targets:          make(map[string]*target),
		targetsByKey:     make(map[thfleet.Key]*target),
		services:         make(map[string]*service),
		servicesByKey:    make(map[thfleet.Key]*service),
		customers:        make(map[thfleet.Key]*customer),
		estimates:        make(map[string]thpick.LatencyEstimate),
		backendSequences: make(map[string]*backendSequence),
		outbox:           newOutbox(o),
	}
}

// SetTargets replaces the list of targets. What is known of a target is kept if it
// is still listed and has not been restarted.
func (v *View) SetTargets(now thclock.Instant, ts []thtable.Target) {
	previous := v.targets
	if len(previous) == 0 {
		v.firstListedAt = now
	}
	v.targets = make(map[string]*target, len(ts))
	clear(v.targetsByKey)
	for _, s := range v.services {
		s.targets = nil
	}
	for _, t := range ts {
		state := previous[t.ID]
		if state == nil || state.StartMillis != t.StartMillis {
			if state != nil && state.ownInFlight > 0 {
				v.outbox.loads[state.key] = 0 // other VMs count this one's requests as well
			}
			state = &target{key: thfleet.KeyOf(t.ID), listedAt: now}
		}
		if !t.HasReportOf(state.Target) {
			state.warmupUntil = t.WarmUntil(now)
		}
		state.Target, state.isEvacuated = t, slices.Contains(v.evacuated, t.Zone)
		v.targets[t.ID] = state
		v.targetsByKey[state.key] = state
		s := v.service(t.Service)
		s.targets = append(s.targets, state)
	}
	for _, s := range v.services {
		s.sortTargets()
		v.updateCold(now, s)
	}
}

// service returns the service of that name, and adds it if it is new.
func (v *View) service(name string) *service {
	s := v.services[name]
	if s == nil {
		s = &service{name: name, key: thfleet.KeyOf(name), retryBudget: thpick.EmptyRetryBudget(v.options.StartedAt)}
		v.services[name] = s
		v.servicesByKey[s.key] = s
	}
	return s
}

// SetTable applies the customers' rate limits of a routing table, and drops what is known
// of customers and routes that it does not have.
func (v *View) SetTable(t thtable.Table) {
	customers, routes := make(map[thfleet.Key]bool), make(map[string]bool)
	for _, c := range t.Document().Customers {
		customers[thfleet.KeyOf(c.Name)] = true
		state, limit := v.customer(c), thquota.Limit{Rate: c.Rate, Burst: c.Burst}
		if state.limit != limit {
			state.limit, v.emptyParts = limit, thquota.EmptyParts{}
		}
	}
	for _, r := range t.Document().Routes {
		routes[r.Name] = true
	}
	v.setColdRates(t.Document().Services)
	maps.DeleteFunc(v.customers, func(k thfleet.Key, _ *customer) bool { return !customers[k] })
	maps.DeleteFunc(v.estimates, func(name string, _ thpick.LatencyEstimate) bool { return !routes[name] })
	maps.DeleteFunc(v.backendSequences, func(name string, _ *backendSequence) bool { return !routes[name] })
}

// customer returns the state of the customer, and adds it if it is new.
func (v *View) customer(c thtable.Customer) *customer {
	key := thfleet.KeyOf(c.Name)
	state := v.customers[key]
	if state == nil {
		state = &customer{limit: thquota.Limit{Rate: c.Rate, Burst: c.Burst}}
		v.customers[key] = state
	}
	return state
}

// SetRules replaces the rule of all retry budgets and the minimum share of each
// service's targets to keep in use.
func (v *View) SetRules(budget thpick.RetryBudgetRule, floorShare float64) {
	v.options.RetryBudgetRule, v.options.FloorShare = budget, floorShare
}

// Picked is a target that was picked for a request, with the basis of the pick.
type Picked struct {
	Target thtable.Target
	// FailureProbability, InFlight (see thpick.Candidate) and Load are what was known of the
	// target before the request was counted there.
	FailureProbability float64
	InFlight           int
	Load               thpick.Load
	// ExpectedLatency is the expected median latency of the answer.
	ExpectedLatency time.Duration
	// KeepsFloor is set if the target was picked because too few targets were in use, not
	// because its expected cost was the lowest.
	KeepsFloor bool
	key        thfleet.Key
	pickedAt   thclock.Instant
}

// Refusal says why no target was picked.
type Refusal struct {
	// Overloaded is set if there are targets, but the wait for a slot is too long.
	Overloaded bool
	// OverBudget is set if the request was sent before and the retry budget has no room
	// for one more retry.
	OverBudget bool
	// Paused is set if all targets of the service have asked for a pause, and Evacuated if
	// all of them are in evacuated zones.
	Paused, Evacuated bool
	// Cold is set if the targets that are neither paused nor evacuated are cold, and this VM may
	// send them no request now.
	Cold bool
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Pick picks a target of the named service for the request and counts the request
// as in flight there; Finish must follow. The targets in tried, to which the
// request was sent before, are left out; retryable is set if the request may be
// retried after this attempt. Pick returns a Refusal if no target is left, if the
// wait is too long and the request has not been sent before, or if it has been sent
// and the retry budget has no room.
func (v *View) Pick(now thclock.Instant, request *thmessage.Request, name string, tried []string, retryable bool) (Picked, *Refusal) {
	s := v.service(name)
	d := v.decidePick(now, request, s, tried, retryable)
	if len(tried) == 0 {
		s.retryBudget = s.retryBudget.WithRequest(now, v.retryRule(now))
	}
	if d.hasTarget {
		v.reportFloor(now, s)
	}
	if d.refusal != nil {
		if d.refusal.countsAsFailure() {
			v.countRefusal(now, s)
		}
		return Picked{}, d.refusal
	}
	if len(tried) == 0 {
		s.fairness = s.fairness.WithSent(now, request.Customer.Name, UrgencyOf(request), d.query.ExpectedLatency)
	}
	p := v.startAttempt(now, s, d.query, d.chosen)
	p.KeepsFloor = d.keepsFloor
	return p, nil
}

// PickHedge picks a target for a hedged attempt, as Pick does, but only one
// that is not suspect and has a short wait: under overload, hedged attempts would
// add to the load.
func (v *View) PickHedge(now thclock.Instant, request *thmessage.Request, name string, tried []string, retryable bool) (Picked, bool) {
	s := v.service(name)
	query := v.newQuery(now, request, s, tried, retryable)
	i, ok := thpick.Pick(v.options.Rand, query, v.candidates)
	if !ok || thpick.ExpectedWait(query, v.candidates[i]) > query.ExpectedLatency || v.candidates[i].Health.FailureProbability(now) > suspectProbability {
		return Picked{}, false
	}
	return v.startAttempt(now, s, query, i), true
}

// newQuery returns the query for the request, and fills v.candidates with the targets
// to choose from.
func (v *View) newQuery(now thclock.Instant, request *thmessage.Request, s *service, tried []string, retryable bool) thpick.Query {
	v.fillCandidates(now, s, request)
	return thpick.Query{
		Now: now, Zone: v.options.Self.Zone, Retryable: retryable, Bytes: request.Body.Len() + typicalAnswerBytes,
		ExpectedLatency: v.ExpectedLatency(request.Route), SlotTime: s.slotTime.Median(objectiveOf(request.Route)), CountError: s.countError.PerTarget(now), Arrived: request.Arrived, Objective: request.Objective, Deadline: request.Deadline,
		Priority: priorityOf(request), Tried: tried, BudgetUsedShare: v.retryPressure(now, s),
	}
}

// startAttempt counts the request as in flight at the candidate at index i, and as a
// retry if other targets were tried before.
func (v *View) startAttempt(now thclock.Instant, s *service, query thpick.Query, i int) Picked {
	t := v.candidateTargets[i]
	t.takeColdToken(now)
	t.ownInFlight++
	t.usedAt = now
	v.outbox.loads[t.key] = uint16(min(t.ownInFlight, math.MaxUint16))
	if len(query.Tried) > 0 {
		s.retryBudget = s.retryBudget.WithRetry(now, v.retryRule(now))
		s.retries++
	}
	return Picked{Target: t.current(), FailureProbability: v.candidates[i].Health.FailureProbability(now), InFlight: v.candidates[i].InFlight, Load: t.load.own, ExpectedLatency: query.ExpectedLatency, key: t.key, pickedAt: now}
}

const (
	// typicalAnswerBytes is the approximate length of an answer.
	typicalAnswerBytes = 1500
	// retryAfterNoTarget is the time after which a retry may succeed if a service
	// has no target: the list of targets is read twice a second.
	retryAfterNoTarget = 500 * time.Millisecond
)

// priorityOf returns the request's priority: the customer's, or the route's if the
// request has no customer.
func priorityOf(request *thmessage.Request) int {
	if request.Customer.Name == "" {
		return request.Route.Priority
	}
	return request.Customer.Priority
}

// ExpectedLatency returns the estimated median latency of the route's answers.
func (v *View) ExpectedLatency(r thtable.Route) time.Duration {
	return v.estimates[r.Name].Median(objectiveOf(r))
}

func objectiveOf(r thtable.Route) time.Duration {
	return time.Duration(r.LatencyObjectiveMillis) * time.Millisecond
}

// Finish records the outcome of an attempt, and its latency if it was answered. The
// attempt no longer counts as in flight.
func (v *View) Finish(now thclock.Instant, p Picked, request *thmessage.Request, o thhealth.Outcome, took time.Duration) {
	result := thfleet.AttemptResult{Target: p.key, Outcome: o, LatencyRatio: thfleet.UnknownLatencyRatio}
	if o == thhealth.Answered {
		v.estimates[request.Route.Name] = v.estimates[request.Route.Name].WithAnswer(took)
		s := v.service(p.Target.Service)
		s.slotTime = s.slotTime.WithAnswer(took)
		s.fairness = s.fairness.WithAnswer(now, request.Customer.Name, UrgencyOf(request), p.ExpectedLatency)
		result.LatencyRatio = encodeLatencyRatio(float64(took) / float64(max(p.ExpectedLatency, 1)))
	}
	v.recordCrashEvidence(now, p, request, o)
	t := v.pickedTarget(p)
	if t == nil {
		return
	}
	v.outbox.addResult(result)
	t.ownInFlight--
	v.outbox.loads[t.key] = uint16(min(t.ownInFlight, math.MaxUint16))
	v.setHealth(now, t, withLatencyRatio(t.health.WithOutcome(now, o), result))
	v.countResult(now, t, result)
}

// MarkOverdue records that an attempt is overdue but still under way. Finish must
// still be called when it ends.
func (v *View) MarkOverdue(now thclock.Instant, p Picked) {
	t := v.pickedTarget(p)
	if t == nil {
		return
	}
	result := thfleet.AttemptResult{Target: t.key, Outcome: thhealth.Overdue, LatencyRatio: thfleet.UnknownLatencyRatio}
	v.outbox.addResult(result)
	v.setHealth(now, t, t.health.WithOutcome(now, thhealth.Overdue))
	v.countResult(now, t, result)
}

// pickedTarget returns the target of a pick, or nil if it has restarted or was not listed
// for a while since.
func (v *View) pickedTarget(p Picked) *target {
	t := v.targetsByKey[p.key]
	if t == nil || p.pickedAt.Before(t.listedAt) {
		return nil
	}
	return t
}

// setHealth replaces the target's health, and calls OnSuspectChange if the target
// became suspect or was cleared by it.
func (v *View) setHealth(now thclock.Instant, t *target, h thhealth.Health) {
	t.health = h
	suspect := h.FailureProbability(now) > suspectProbability
	if suspect == t.suspect {
		return
	}
	t.suspect = suspect
	if v.options.OnSuspectChange != nil {
		v.options.OnSuspectChange(v.targetStatus(now, t))
	}
}

// reportFloor calls OnFloorChange if this VM has begun or ceased to enforce the floor of the
// service.
func (v *View) reportFloor(now thclock.Instant, s *service) {
	enforced := s.floor.IsEnforced(now)
	if enforced == s.floorEnforced {
		return
	}
	s.floorEnforced = enforced
	if v.options.OnFloorChange != nil {
		v.options.OnFloorChange(v.floorStatus(now, s))
	}
}

// countRefusal counts a request to the service that this VM refused.
func (v *View) countRefusal(now thclock.Instant, s *service) {
	s.floor = s.floor.WithFailures(now, 1)
	s.refused++
	v.outbox.refused[s.key] = s.refused
}

// countResult counts the result of an attempt of any VM for the floor of the
// target's service.
func (v *View) countResult(now thclock.Instant, t *target, result thfleet.AttemptResult) {
	s := v.services[t.Service]
	if s == nil {
		return
	}
	switch result.Outcome {
	case thhealth.Answered:
		s.floor = s.floor.WithSuccess(now)
	case thhealth.Failed, thhealth.ConnectionClosed, thhealth.TimedOut:
		s.floor = s.floor.WithFailures(now, 1)
		t.failedAt = now
	case thhealth.Overdue:
		s.floor = s.floor.WithFailures(now, 1)
	default:
		// After a refused connection or a rejection, the request did not run and is
		// mostly sent to another target. The other outcomes give no evidence.
	}
}

// ratioStepsPerDoubling is the resolution of an encoded latency ratio: eighths of a
// doubling.
const ratioStepsPerDoubling = 8

// encodeLatencyRatio encodes a ratio as its logarithm to base 2 in eighths. It
// never returns thfleet.UnknownLatencyRatio, which is -128.
func encodeLatencyRatio(ratio float64) int8 {
	return int8(max(-127, min(127, math.Round(ratioStepsPerDoubling*math.Log2(max(ratio, 1e-6))))))
}

// withLatencyRatio returns the health updated by the latency ratio of the result,
// if it has one.
func withLatencyRatio(h thhealth.Health, result thfleet.AttemptResult) thhealth.Health {
	if result.LatencyRatio == thfleet.UnknownLatencyRatio {
		return h
	}
	return h.WithLatencyRatio(math.Exp2(float64(result.LatencyRatio) / ratioStepsPerDoubling))
}

// Receive applies another VM's notice, and returns what was new in it.
func (v *View) Receive(now thclock.Instant, n thfleet.Notice) thfleet.Update {
	if n.Leaving || len(n.Lost) > 0 {
		v.dropLostParts(now)
	}
	update := v.Fleet.Receive(now, n)
	v.receiveCrashEvidence(now, update)
	update.TargetsLeave = v.receiveLeaving(n.LeavingTargets)
	if !update.Stale {
		v.receiveLoads(now, n.ReportedLoads)
	}
	for _, result := range update.Results {
		if t := v.targetsByKey[result.Target]; t != nil {
			v.setHealth(now, t, withLatencyRatio(t.health.WithRemoteOutcome(now, result.Outcome), result))
			v.countResult(now, t, result)
		}
	}
	for _, key := range update.Started {
		if t := v.targetsByKey[key]; t != nil {
			t.usedAt = now
		}
	}
	for _, r := range update.Refused {
		if s := v.servicesByKey[r.Key]; s != nil {
			s.floor = s.floor.WithFailures(now, float64(r.Count))
		}
	}
	return update
}
