package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
)

// RetryBudgetRule limits a service's retries, summed over all VMs, in any window of
// the given length: the ratio of the requests that callers sent in it, and a slack.
//
// Each VM has its own part of the limit. It may spend an equal share of the slack, which it
// gets back a window later, or as soon as requests add to it: each adds Ratio retries at the
// VM that forwards it. A VM that has nothing left borrows from another one. Since each
// retry is counted at one VM, the VMs together stay within the limit even if none of their
// messages arrive.
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
	// capacityShare is the share of its slack that a VM may have spent at any time, and
	// refillShare what it gets back in a window in any case. A VM that has just restarted
	// has only the latter.
	capacityShare = 0.86
	refillShare   = 0.12
	// loanLifetime is how long a VM that borrows may use what it got beyond its own
	// capacity. An attempt follows within milliseconds.
	loanLifetime = 500 * time.Millisecond
	// budgetSlotsPerWindow is the number of slots of time into which a window is divided.
	// Spending stays counted for two slots more: the one in which it happened, and one
	// for the lifetime of a loan.
	budgetSlotsPerWindow = 20
	budgetSlots          = budgetSlotsPerWindow + 2
)

// RetryBudget is one VM's part of a service's retry budget. All its functions need
// the rule of this VM, see RetryBudgetRule.WithVMs. It is immutable; the zero value is
// full.
type RetryBudget struct {
	// spent holds what was spent and lent in the latest slots and has not been got back.
	spent [budgetSlots]spentSlot
	// unknownShare is the share of the capacity, 0 to 1, that may have been spent before
	// knownSince, when the VM started.
	unknownShare float64
	knownSince   thclock.Instant
	refilledAt   thclock.Instant
	// borrowed is what other VMs lent, up to borrowedUntil.
	borrowed      float64
	borrowedUntil thclock.Instant
}

// spentSlot holds what was spent in one slot.
type spentSlot struct {
	number int64
	amount float64
}

// EmptyRetryBudget returns a budget that has nothing left at the given time. A VM that
// restarts does not know which retries it made before; with an empty budget it
// stays within the limit all the same.
func EmptyRetryBudget(now thclock.Instant) RetryBudget {
	return RetryBudget{refilledAt: now, knownSince: now, unknownShare: 1}
}

// slotSpan returns the length of a slot, which is at least the lifetime of a loan.
func (r RetryBudgetRule) slotSpan() time.Duration {
	return max(loanLifetime, r.Window/budgetSlotsPerWindow)
}

// capacity returns what a VM may have spent at any time.
func (r RetryBudgetRule) capacity() float64 { return capacityShare * r.Slack }

// refreshed returns the budget without what has expired and with the refill until now.
func (b RetryBudget) refreshed(now thclock.Instant, r RetryBudgetRule) RetryBudget {
	newest := int64(now.Mono / r.slotSpan())
	for i, s := range b.spent {
		if newest-s.number >= budgetSlots {
			b.spent[i] = spentSlot{}
		}
	}
	if now.Sub(b.knownSince) >= r.Window+loanLifetime {
		b.unknownShare = 0
	}
	if now.HasPassedOnEither(b.borrowedUntil) {
		b.borrowed = 0
	}
	elapsed := max(0, now.Sub(b.refilledAt))
	b.refilledAt = now
	b.giveBack(r, refillShare*r.Slack*float64(elapsed)/float64(max(1, r.Window)))
	return b
}

// giveBack reduces what counts as spent, the latest first, and returns what is left of
// the amount.
func (b *RetryBudget) giveBack(r RetryBudgetRule, amount float64) (left float64) {
	for amount > 0 {
		latest := -1
		for i, s := range b.spent {
			if s.amount > 0 && (latest < 0 || s.number > b.spent[latest].number) {
				latest = i
			}
		}
		if latest < 0 {
			break
		}
		given := min(amount, b.spent[latest].amount)
		b.spent[latest].amount -= given
		amount -= given
	}
	if c := r.capacity(); c > 0 && amount > 0 {
		given := min(amount, b.unknownShare*c)
		b.unknownShare -= given / c
		amount -= given
	}
	return amount
}

// spend counts the amount as spent.
func (b *RetryBudget) spend(now thclock.Instant, r RetryBudgetRule, amount float64) {
	n := int64(now.Mono / r.slotSpan())
	s := &b.spent[n%budgetSlots]
	s.number = n
	s.amount += amount
}

// ownLeft returns what the VM may spend without a loan; negative if its part has shrunk.
func (b RetryBudget) ownLeft(r RetryBudgetRule) float64 {
	left := (1 - b.unknownShare) * r.capacity()
	for _, s := range b.spent {
		left -= s.amount
	}
	return left
}

// WithRequest returns the budget after a caller's request for the service.
func (b RetryBudget) WithRequest(now thclock.Instant, r RetryBudgetRule) RetryBudget {
	b = b.refreshed(now, r)
	b.giveBack(r, r.Ratio)
	return b
}

// WithRetry returns the budget after one retry.
func (b RetryBudget) WithRetry(now thclock.Instant, r RetryBudgetRule) RetryBudget {
	b = b.refreshed(now, r)
	fromLoan := min(1, b.borrowed)
	b.borrowed -= fromLoan
	b.spend(now, r, 1-fromLoan)
	return b
}

// WithLoan returns the budget with an amount that another VM lent. What fits into the
// VM's own part stays there.
func (b RetryBudget) WithLoan(now thclock.Instant, r RetryBudgetRule, amount float64) RetryBudget {
	b = b.refreshed(now, r)
	b.borrowed += b.giveBack(r, amount)
	b.borrowedUntil = now.Add(loanLifetime)
	return b
}

// WithLent returns the budget after lending another VM up to the wanted amount, and how
// much is lent.
func (b RetryBudget) WithLent(now thclock.Instant, r RetryBudgetRule, wanted float64) (RetryBudget, float64) {
	b = b.refreshed(now, r)
	lent := max(0, min(wanted, b.ownLeft(r)))
	b.spend(now, r, lent)
	return b, lent
}

// Left returns the number of retries that the VM may make, which may be a fraction or
// negative.
func (b RetryBudget) Left(now thclock.Instant, r RetryBudgetRule) float64 {
	b = b.refreshed(now, r)
	return b.ownLeft(r) + b.borrowed
}

// HasRoom reports whether the VM may make one more retry.
func (b RetryBudget) HasRoom(now thclock.Instant, r RetryBudgetRule) bool {
	return b.Left(now, r) >= 1
}
