package thview

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thpick"
)

const (
	// lendersAsked is how many VMs are asked in turn to lend a part of their retry
	// budgets.
	lendersAsked = 5
	// borrowPause is how long a VM does not ask again after none of the lenders had
	// anything left: then retries have used up the budget of most VMs.
	borrowPause = 500 * time.Millisecond
	// borrowingPressure is the retry pressure while this VM would have to borrow for a
	// retry, and no lender has refused lately.
	borrowingPressure = 0.5
)

// retryRule returns the rule for this VM's part of each service's retry budget.
func (v *View) retryRule(now thclock.Instant) thpick.RetryBudgetRule {
	_, members := v.Fleet.Size(now)
	return v.options.RetryBudgetRule.WithVMs(members)
}

// RetryBudgetStatus describes this VM's part of a service's retry budget.
type RetryBudgetStatus struct {
	// Left is the number of retries that this VM may make without borrowing; it may be
	// a fraction.
	Left float64
	// Retries is the number of this VM's retries since its start.
	Retries uint32
}

// RetryBudget returns the status of this VM's part of the service's retry budget.
func (v *View) RetryBudget(now thclock.Instant, name string) RetryBudgetStatus {
	s := v.service(name)
	return RetryBudgetStatus{Left: s.retryBudget.Left(now, v.retryRule(now)), Retries: s.retries}
}

// HasRetryBudget reports whether this VM may make one more retry of a request to the
// service without borrowing.
func (v *View) HasRetryBudget(now thclock.Instant, name string) bool {
	return v.service(name).retryBudget.HasRoom(now, v.retryRule(now))
}

// retryPressure returns how scarce retries are, from 0 to 1.
func (v *View) retryPressure(now thclock.Instant, s *service) float64 {
	if s.retryBudget.HasRoom(now, v.retryRule(now)) {
		return 0
	}
	if live, _ := v.Fleet.Size(now); live == 1 || now.Before(s.borrowAt) {
		return 1
	}
	return borrowingPressure
}

// PrepareLoan returns the request for what this VM lacks for one more retry, and the
// VMs to ask in turn. It returns none if the VM lacks nothing or has asked in vain
// within borrowPause.
func (v *View) PrepareLoan(now thclock.Instant, name string) (thfleet.TokenRequest, []thfleet.Peer) {
	s := v.service(name)
	missing := 1 - s.retryBudget.Left(now, v.retryRule(now))
	if missing <= 0 || now.Before(s.borrowAt) {
		return thfleet.TokenRequest{}, nil
	}
	request := thfleet.TokenRequest{Kind: thfleet.RetryTokens, Key: s.key, Thousandths: uint16(min(math.MaxUint16, math.Ceil(missing*1000)))}
	return request, v.Fleet.RandomPeers(v.options.Rand, lendersAsked)
}

// AddLoan adds what another VM lent to this VM's part of the service's retry budget.
func (v *View) AddLoan(now thclock.Instant, name string, t thfleet.Tokens) {
	s := v.service(name)
	s.retryBudget = s.retryBudget.WithLoan(now, v.retryRule(now), float64(t.Thousandths)/1000)
}

// RecordNoLoan records that no VM had enough to lend.
func (v *View) RecordNoLoan(now thclock.Instant, name string) {
	v.service(name).borrowAt = now.Add(borrowPause)
}

// lendRetry takes what another VM asks for out of this VM's part of a retry budget, as
// far as it has that much left.
func (v *View) lendRetry(now thclock.Instant, r thfleet.TokenRequest) thfleet.Tokens {
	s := v.servicesByKey[r.Key]
	if s == nil {
		return thfleet.Tokens{}
	}
	var lent float64
	s.retryBudget, lent = s.retryBudget.WithLent(now, v.retryRule(now), float64(r.Thousandths)/1000)
	return thfleet.Tokens{Thousandths: uint16(lent * 1000)}
}
