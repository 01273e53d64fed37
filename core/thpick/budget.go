package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
)

// RetryBudgetRule limits a service's retries, summed over all VMs, in any window of
// the given length: the ratio of the requests that callers sent in it, and a slack.
//
// Each VM has its own part of the limit, a token bucket, and takes a token out of it
// for each retry. A request adds Ratio tokens to the bucket of the VM that forwards it.
// The slack is divided among the VMs, one share of it as the buckets' capacity and
// another one as their refill over a window. A VM that runs out of tokens borrows from another
// one. Since every token is in one place, the VMs together stay within the limit even
// if none of their messages arrive.
type RetryBudgetRule struct {
	Window time.Duration
	// Ratio is the number of retries allowed per request, and Slack the number
	// of retries allowed in addition.
	Ratio, Slack float64
}

// WithVMs returns the rule for one VM of a fleet of the given size.
func (r RetryBudgetRule) WithVMs(vms int) RetryBudgetRule {
	r.Slack /= float64(max(1, vms))
	return r
}

const (
	// capacityShare is the share of the slack that buckets can hold, and refillShare the
	// share that they get back in a window. The rest covers loans, which a lender may
	// have got back by its refill before the borrower has used them.
	capacityShare = 0.78
	refillShare   = 0.2
	// loanLifetime is how long a VM that borrows may use what it got. An attempt
	// follows within milliseconds.
	loanLifetime = 500 * time.Millisecond
)

// RetryBudget is one VM's part of a service's retry budget. All its functions need
// the rule of this VM, see RetryBudgetRule.WithVMs. It is immutable; the zero value is
// full.
type RetryBudget struct {
	// tokens is the number of retries left at refilledAt; negative if the capacity has
	// shrunk since they were made.
	tokens     float64
	refilledAt thclock.Instant
	// borrowed is what other VMs lent, up to borrowedUntil.
	borrowed      float64
	borrowedUntil thclock.Instant
}

// EmptyRetryBudget returns a budget that has no tokens at the given time. A VM that
// restarts does not know which retries it made before; with an empty budget it
// stays within the limit all the same.
func EmptyRetryBudget(now thclock.Instant) RetryBudget { return RetryBudget{refilledAt: now} }

// refilled returns the budget with the tokens added until now.
func (b RetryBudget) refilled(now thclock.Instant, r RetryBudgetRule) RetryBudget {
	elapsed := max(0, now.Sub(b.refilledAt))
	refill := refillShare * r.Slack * float64(elapsed) / float64(max(1, r.Window))
	b.tokens, b.refilledAt = min(capacityShare*r.Slack, b.tokens+refill), now
	if now.HasPassedOnEither(b.borrowedUntil) {
		b.borrowed = 0
	}
	return b
}

// WithRequest returns the budget after a caller's request for the service.
func (b RetryBudget) WithRequest(now thclock.Instant, r RetryBudgetRule) RetryBudget {
	b = b.refilled(now, r)
	b.tokens = min(capacityShare*r.Slack, b.tokens+r.Ratio)
	return b
}

// WithRetry returns the budget after one retry.
func (b RetryBudget) WithRetry(now thclock.Instant, r RetryBudgetRule) RetryBudget {
	b = b.refilled(now, r)
	fromLoan := min(1, b.borrowed)
	b.borrowed -= fromLoan
	b.tokens -= 1 - fromLoan
	return b
}

// WithLoan returns the budget with an amount that another VM lent.
func (b RetryBudget) WithLoan(now thclock.Instant, r RetryBudgetRule, amount float64) RetryBudget {
	b = b.refilled(now, r)
	b.borrowed += amount
	b.borrowedUntil = now.Add(loanLifetime)
	return b
}

// WithLent returns the budget after lending another VM up to the wanted amount, and how
// much is lent.
func (b RetryBudget) WithLent(now thclock.Instant, r RetryBudgetRule, wanted float64) (RetryBudget, float64) {
	b = b.refilled(now, r)
	lent := max(0, min(wanted, b.tokens))
	b.tokens -= lent
	return b, lent
}

// Left returns the number of retries that the VM may make, which may be a fraction or
// negative.
func (b RetryBudget) Left(now thclock.Instant, r RetryBudgetRule) float64 {
	b = b.refilled(now, r)
	return b.tokens + b.borrowed
}

// HasRoom reports whether the VM may make one more retry.
func (b RetryBudget) HasRoom(now thclock.Instant, r RetryBudgetRule) bool {
	return b.Left(now, r) >= 1
}
