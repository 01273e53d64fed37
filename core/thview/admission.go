package thview

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thquota"
	"tamarackhollow/core/thtable"
)

const (
	// QuestionTimeout is how long a VM waits for another one's answer to a request for
	// tokens; a caller waits meanwhile. It covers a round trip between availability zones
	// and, if the one that is asked has to check the presence of another, the time for
	// that.
	QuestionTimeout = 50 * time.Millisecond
	// maxEmptyOwners is how many other VMs without a token a request may be told by,
	// however long their answers took.
	maxEmptyOwners = 2
	// maxFurtherWait bounds the wait of a request that asks more owners than that, and
	// furtherWaitShare the share of the route's latency objective that it waits at most.
	// Most parts of a limit have an owner in another zone, 20 ms or so away.
	maxFurtherWait   = 100 * time.Millisecond
	furtherWaitShare = 0.3
	// maxSilentOwners is how many VMs that do not answer a request waits for.
	maxSilentOwners = 5
	// retryAfterUnknownLimit is the time after which a request may be retried that no
	// owner gave a token for.
	retryAfterUnknownLimit = 200 * time.Millisecond
	// wholeToken is the number of thousandths that one request needs.
	wholeToken = 1000
	// maxUnjoinedRequests is how many requests of each customer a VM admits before it has
	// joined the fleet, so that callers need not wait for that. If all VMs restart, the
	// customer has sent less while they were down.
	maxUnjoinedRequests = 1
	// maxJoinWait is how long a request waits until the VM has joined, at most, and
	// joinWaitShare the share of the route's latency objective that it waits at most. A
	// refused caller comes back later than most VMs take to join.
	maxJoinWait   = 400 * time.Millisecond
	joinWaitShare = 0.3
)

// customer holds a customer's rate limit, and the buckets of the parts that this VM owns.
type customer struct {
	limit thquota.Limit
	// owned holds the parts by their number: from the first token that was asked of this
	// VM until it does not own the part any more.
	owned map[uint8]ownedPart
	// admittedUnjoined is how many requests were admitted before this VM had joined.
	admittedUnjoined int
}

// ownedPart is a part of a customer's limit that this VM owns since the given time.
type ownedPart struct {
	bucket   thquota.Bucket
	schedule thquota.RetrySchedule
	since    thclock.Instant
}

// Admission is the state of one request that needs a token of its customer's limit.
type Admission struct {
	customer thfleet.Key
	route    thtable.Route
	// queue holds the VMs to ask, in order.
	queue []candidateOwner
	asked candidateOwner
	// askFurtherUntil is until when the request may ask more than maxEmptyOwners.
	askFurtherUntil thclock.Instant
	// empty, knownEmpty and silent are how many VMs had no token, how many were not asked
	// because they had none, and how many did not answer.
	empty, knownEmpty, silent int
	// retryAfter is the shortest time after which an owner may have a token.
	retryAfter time.Duration
	// own is the last part owned by this VM that had no token.
	own OwnPart
}

// candidateOwner is the VM at a position in the line for a part of a limit.
type candidateOwner struct {
	part     thfleet.Part
	position int
	// isRepeat is set if the VM has left one question unanswered.
	isRepeat bool
	// isFollower is set if a VM before this one in the line has just not answered the
	// request, and isPresent if that VM has answered the follower.
	isFollower, isPresent bool
}

func (c candidateOwner) owner() thfleet.Owner { return c.part.Line[c.position] }

// AdmissionStep is what follows for a request that needs a token: Admitted, OverLimit,
// LimitUnknown, AskOwner or AwaitJoin.
type AdmissionStep interface{ admissionStep() }

// Admitted lets the request pass.
type Admitted struct{}

// OverLimit refuses the request because the customer has used up its limit.
type OverLimit struct {
	// RetryAfter is the time after which the request may be retried.
	RetryAfter time.Duration
	Basis      AdmissionBasis
}

// LimitUnknown refuses the request because no owner of the limit could be asked.
type LimitUnknown struct {
	RetryAfter time.Duration
	Basis      AdmissionBasis
}

// AskOwner asks an owner for a token. ContinueAdmission must follow.
type AskOwner struct {
	Owner   thfleet.Peer
	Request thfleet.TokenRequest
}

// AwaitJoin waits until this VM has joined the fleet, but not beyond Until.
// ResumeAdmission must follow.
type AwaitJoin struct{ Until thclock.Instant }

func (Admitted) admissionStep()     {}
func (OverLimit) admissionStep()    {}
func (LimitUnknown) admissionStep() {}
func (AskOwner) admissionStep()     {}
func (AwaitJoin) admissionStep()    {}

// BeginAdmission asks for a token of the customer's limit for a request on the route.
func (v *View) BeginAdmission(now thclock.Instant, c thtable.Customer, r thtable.Route) (*Admission, AdmissionStep) {
	state := v.customer(c)
	a, d := v.decideAdmission(now, state, c, r)
	if d.isUnjoined {
		state.admittedUnjoined++
	}
	return a, v.carryOut(now, a, d)
}

// decideAdmission decides what BeginAdmission does. The Admission is nil for a customer without a
// limit.
func (v *View) decideAdmission(now thclock.Instant, state *customer, c thtable.Customer, r thtable.Route) (*Admission, admissionDecision) {
	if state.limit.Rate <= 0 {
		return nil, admissionDecision{step: Admitted{}}
	}
	a := &Admission{customer: thfleet.KeyOf(c.Name), route: r, retryAfter: math.MaxInt64}
	if v.IsJoined(now) {
		return a, v.askOwners(now, a)
	}
	if state.admittedUnjoined >= maxUnjoinedRequests {
		objective := time.Duration(r.LatencyObjectiveMillis) * time.Millisecond
		return a, admissionDecision{step: AwaitJoin{Until: now.Add(min(maxJoinWait, time.Duration(joinWaitShare*float64(objective))))}}
	}
	return a, admissionDecision{step: Admitted{}, isUnjoined: true}
}

// admissionDecision is what follows for a request that needs a token, before it is carried out.
type admissionDecision struct {
	step AdmissionStep
	// isUnjoined is set if the request is admitted because this VM has not joined the fleet.
	isUnjoined bool
	// asksSelf is set if this VM asks itself for a token. Then owned are those of the parts that
	// it owns, as they are afterwards.
	asksSelf bool
	owned    []askedPart
}

// askedPart is a part of a customer's limit after this VM, its owner, was asked for a token.
type askedPart struct {
	number uint8
	state  ownedPart
}

// carryOut records the decision and returns the step that follows.
func (v *View) carryOut(now thclock.Instant, a *Admission, d admissionDecision) AdmissionStep {
	if d.asksSelf {
		v.dropLostParts(now)
	}
	for _, p := range d.owned {
		v.customers[a.customer].setOwned(p)
	}
	switch d.step.(type) {
	case OverLimit, LimitUnknown:
		for _, b := range a.route.Backends {
			v.countRefusal(now, v.service(b.Service))
		}
	}
	return d.step
}

func (c *customer) setOwned(p askedPart) {
	if c.owned == nil {
		c.owned = make(map[uint8]ownedPart)
	}
	c.owned[p.number] = p.state
}

// ResumeAdmission asks for a token for a request that has waited until this VM joined the
// fleet, and refuses it if this VM has not.
func (v *View) ResumeAdmission(now thclock.Instant, a *Admission) AdmissionStep {
	if !v.IsJoined(now) {
		return v.carryOut(now, a, admissionDecision{step: v.refuseAdmission(now, a)})
	}
	return v.carryOut(now, a, v.askOwners(now, a))
}

// askOwners begins to ask for a token.
func (v *View) askOwners(now thclock.Instant, a *Admission) admissionDecision {
	wait := maxFurtherWait
	if objective := time.Duration(a.route.LatencyObjectiveMillis) * time.Millisecond; objective > 0 {
		wait = min(wait, time.Duration(furtherWaitShare*float64(objective)))
	}
	a.askFurtherUntil = now.Add(wait - QuestionTimeout)
	a.queue = v.ownersToAsk(now, a.customer)
	return v.nextAdmissionStep(now, a)
}

// ownersToAsk returns the VMs to ask for a token, one for each part: this VM first, then
// those of its zone. A VM that did not answer lately is passed over for the next in line.
func (v *View) ownersToAsk(now thclock.Instant, customer thfleet.Key) []candidateOwner {
	parts := v.Fleet.LimitParts(now, customer)
	v.options.Rand.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	var self, near, far []candidateOwner
	for _, p := range parts {
		c := v.firstToAsk(now, p)
		switch {
		case c.position == len(p.Line):
		case c.owner().IsSelf:
			self = append(self, c)
		case p.Zone == v.options.Self.Zone:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	return append(append(self, near...), far...)
}

// firstToAsk returns the first in the line for a part that did answer lately. If that is
// this VM, it asks a silent one before it once more, unless that one is suspect.
func (v *View) firstToAsk(now thclock.Instant, p thfleet.Part) candidateOwner {
	c := candidateOwner{part: p}
	for c.position < len(p.Line) && v.Fleet.IsSkipped(now, c.owner().Key) {
		isSelfNext := c.position+1 < len(p.Line) && p.Line[c.position+1].IsSelf
		if isSelfNext && !v.Fleet.IsSuspect(now, c.owner().Key) {
			c.isRepeat = true
			break
		}
		c.position++
	}
	return c
}

// ContinueAdmission records the answer of the VM that was asked, nil if none came, and
// returns what follows.
func (v *View) ContinueAdmission(now thclock.Instant, a *Admission, answer *thfleet.Tokens) AdmissionStep {
	switch {
	case answer == nil:
		v.handleSilentOwner(now, a)
	case answer.NotOwner:
		a.returnToOwner()
	default:
		v.recordTokens(now, a, *answer)
		if answer.Thousandths >= wholeToken {
			return Admitted{}
		}
		a.empty++
	}
	return v.carryOut(now, a, v.nextAdmissionStep(now, a))
}

// recordTokens records until when the VM that answered has no further tokens.
func (v *View) recordTokens(now thclock.Instant, a *Admission, t thfleet.Tokens) {
	wait := time.Duration(t.RetryAfterMillis) * time.Millisecond
	if t.Thousandths < wholeToken {
		a.retryAfter = min(a.retryAfter, wait)
	}
	if wait > 0 {
		v.emptyParts.Record(now, a.customer, a.asked.part.Number, a.asked.owner().Key, now.Add(wait))
	}
}

// handleSilentOwner queues the next in line for the part of a VM that did not answer. This
// VM itself takes over only after a second question, because a datagram may be lost.
func (v *View) handleSilentOwner(now thclock.Instant, a *Admission) {
	a.silent++
	silent := a.asked.owner().Key
	next := candidateOwner{part: a.asked.part, position: a.asked.position + 1, isFollower: true, isPresent: a.asked.isPresent}
	isSelfNext := next.position < len(next.part.Line) && next.owner().IsSelf
	switch {
	case isSelfNext && !a.asked.isRepeat:
		next.position--
		next.isRepeat = true
	case isSelfNext:
		v.Fleet.Suspect(now, silent)
	default:
		v.Fleet.Skip(now, silent)
	}
	if next.position < len(next.part.Line) {
		a.queue = append(a.queue, next)
	}
}

// returnToOwner queues the VM before the one that was asked once more, if the latter did not
// take over from it: the former is present then, and only a datagram was lost.
func (a *Admission) returnToOwner() {
	if a.asked.isFollower && !a.asked.isPresent && a.asked.position > 0 {
		a.queue = append(a.queue, candidateOwner{part: a.asked.part, position: a.asked.position - 1, isFollower: true, isPresent: true})
	}
}

// nextAdmissionStep decides which owner is asked next. It changes the admission only.
func (v *View) nextAdmissionStep(now thclock.Instant, a *Admission) (d admissionDecision) {
	for len(a.queue) > 0 {
		a.asked, a.queue = a.queue[0], a.queue[1:]
		request := thfleet.TokenRequest{Kind: thfleet.CustomerTokens, Key: a.customer, Part: a.asked.part.Number, Thousandths: wholeToken}
		switch {
		case a.asked.owner().IsSelf:
			d.asksSelf = true
			part, isAdmitted := v.askSelf(now, a, request)
			if part != nil {
				d.owned = append(d.owned, *part)
			}
			if isAdmitted {
				d.step = Admitted{}
				return d
			}
		case v.isKnownEmpty(now, a):
		case a.mayAsk(now):
			d.step = AskOwner{Owner: a.asked.owner().Peer, Request: request}
			return d
		}
	}
	d.step = v.refuseAdmission(now, a)
	return d
}

// isKnownEmpty reports whether the VM to ask is known to have no tokens.
func (v *View) isKnownEmpty(now thclock.Instant, a *Admission) bool {
	until, ok := v.emptyParts.Until(now, a.customer, a.asked.part.Number, a.asked.owner().Key)
	if ok {
		a.knownEmpty++
		a.retryAfter = min(a.retryAfter, until.Sub(now))
	}
	return ok
}

// mayAsk reports whether the request may ask one more VM. Those that follow a silent one in
// the line do not count as further owners: the part may have tokens that no other has.
func (a *Admission) mayAsk(now thclock.Instant) bool {
	if a.silent >= maxSilentOwners {
		return false
	}
	return a.empty < maxEmptyOwners || a.asked.isFollower || !a.askFurtherUntil.Before(now)
}

// askSelf decides whether a part that this VM owns has a token, and returns the part as it is
// afterwards, or nil if this VM does not own it.
func (v *View) askSelf(now thclock.Instant, a *Admission, r thfleet.TokenRequest) (part *askedPart, isAdmitted bool) {
	t, _, part := v.decideCustomerToken(now, r)
	if part == nil {
		return nil, false
	}
	if t.Thousandths >= wholeToken {
		return part, true
	}
	a.own = v.ownPart(now, r, part.state)
	a.retryAfter = min(a.retryAfter, time.Duration(t.RetryAfterMillis)*time.Millisecond)
	return part, false
}

// refuseAdmission returns the refusal of a request for its customer's limit.
func (v *View) refuseAdmission(now thclock.Instant, a *Admission) AdmissionStep {
	basis := v.basisOf(now, a)
	if a.retryAfter == math.MaxInt64 {
		return LimitUnknown{RetryAfter: retryAfterUnknownLimit, Basis: basis}
	}
	return OverLimit{RetryAfter: a.retryAfter, Basis: basis}
}

// GiveTokens answers another VM's request for tokens. If this VM is in line for a part
// of a customer's limit, but another one before it, that one is returned as well: this
// VM must ask it for an answer, record with Fleet.Suspect if none comes, and then call
// GiveTokens again.
func (v *View) GiveTokens(now thclock.Instant, r thfleet.TokenRequest) (t thfleet.Tokens, before *thfleet.Peer) {
	switch r.Kind {
	case thfleet.RetryTokens:
		t = v.lendRetry(now, r)
	case thfleet.CustomerTokens:
		t, before = v.giveCustomerToken(now, r)
	default:
		t = thfleet.Tokens{NotOwner: true}
	}
	t.Number = r.Number
	return t, before
}

// giveCustomerToken takes a token out of the part of a customer's limit that this VM
// owns. If a VM before it in the line must be asked first, it is returned.
func (v *View) giveCustomerToken(now thclock.Instant, r thfleet.TokenRequest) (thfleet.Tokens, *thfleet.Peer) {
	v.dropLostParts(now)
	t, before, part := v.decideCustomerToken(now, r)
	if part != nil {
		v.customers[r.Key].setOwned(*part)
	}
	return t, before
}

// decideCustomerToken decides what giveCustomerToken returns, and returns the part as it is
// afterwards, or nil if this VM does not own it.
func (v *View) decideCustomerToken(now thclock.Instant, r thfleet.TokenRequest) (thfleet.Tokens, *thfleet.Peer, *askedPart) {
	c := v.customers[r.Key]
	part, parts, ok := v.Fleet.LimitPart(now, r.Key, r.Part)
	if c == nil || !ok || !v.IsJoined(now) {
		return thfleet.Tokens{NotOwner: true}, nil, nil
	}
	owns, before := v.ownsPart(now, part)
	if !owns {
		return thfleet.Tokens{NotOwner: true}, before, nil
	}
	share := v.usablePartShare(now) / float64(parts)
	owned, ok := c.owned[r.Part]
	if !ok {
		owned.since = v.ownerSince(now, part)
		owned.bucket = thquota.NewBucket(owned.since, share)
	}
	owned.bucket, ok = owned.bucket.WithRequest(now, c.limit, share)
	t := thfleet.Tokens{}
	if ok {
		t.Thousandths = wholeToken
	}
	if wait := owned.bucket.RetryAfter(c.limit, share); wait > 0 {
		var at thclock.Instant
		at, owned.schedule = owned.schedule.Next(now, now.Add(wait), c.limit.Interval(share), v.options.Rand.Float64())
		t.RetryAfterMillis = uint16(min(math.MaxUint16, at.Sub(now).Milliseconds()+1))
	}
	return t, nil, &askedPart{number: r.Part, state: owned}
}

// ownsPart reports whether this VM is the first in the line for a part that is not
// suspect. If it is in the line, but another one before it, that one is returned.
func (v *View) ownsPart(now thclock.Instant, p thfleet.Part) (owns bool, before *thfleet.Peer) {
	for _, o := range p.Line {
		switch {
		case o.IsSelf:
			return before == nil, before
		case before == nil && !v.Fleet.IsSuspect(now, o.Key):
			before = &o.Peer
		}
	}
	return false, nil
}

// ownerSince returns since when this VM owns a part of which it has not given out a token
// yet.
func (v *View) ownerSince(now thclock.Instant, p thfleet.Part) thclock.Instant {
	if !p.Line[0].IsSelf {
		return now // it takes over from a VM that does not answer
	}
	return v.Fleet.ZoneChangedAt().Max(v.options.StartedAt)
}

// usablePartShare returns the fraction of a part that this VM may use as its owner.
func (v *View) usablePartShare(now thclock.Instant) float64 {
	live, members := v.Fleet.ZoneSize(now)
	if v.Fleet.IsIsolated(now) {
		live = 1
	}
	return thquota.UsableShare(live, members)
}

// dropLostParts drops the buckets of the parts that another VM owns. If this VM owns them
// again later, it does not know what was given out meanwhile. So it must be called before
// any VM is lost or leaves, but not for each of hundreds of VMs that start together.
func (v *View) dropLostParts(now thclock.Instant) {
	generation := v.Fleet.Generation()
	if generation == v.partsGeneration {
		return
	}
	v.partsGeneration = generation
	for key, c := range v.customers {
		for number := range c.owned {
			p, _, ok := v.Fleet.LimitPart(now, key, number)
			if owns, _ := v.ownsPart(now, p); !ok || !owns {
				delete(c.owned, number)
			}
		}
	}
}
