package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// budgetSlots is the number of time slots in which a budget counts.
	budgetSlots = 10
	// budgetUsableShare is the share of the allowed retries that is used. The
	// rest covers retries that several VMs start before their notices reach each
	// other.
	budgetUsableShare = 0.75
)

// RetryBudgetRule limits a service's retries, summed over all VMs, in any
// window of the given length.
type RetryBudgetRule struct {
	Window time.Duration
	// Ratio is the number of retries allowed per request, and Slack the number
	// of retries allowed in addition.
	Ratio, Slack float64
}

// RetryBudget counts a service's attempts and retries over all VMs. Attempts of
// other VMs are counted only when their results arrive; until then, fewer
// retries are allowed. A RetryBudget is immutable; the zero value has counted
// nothing.
type RetryBudget struct {
	slots [budgetSlots]budgetSlot
}

// budgetSlot holds the counts of one part of the window.
type budgetSlot struct {
	number            int64
	attempts, retries float64
}

// slot returns the slot for the time now. It clears counts left there from an
// earlier window.
func (b *RetryBudget) slot(now thclock.Instant, r RetryBudgetRule) *budgetSlot {
	n := slotNumber(now, r)
	s := &b.slots[n%budgetSlots]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	return s
}

// slotNumber numbers the slots consecutively. A slot spans a ninth of the
// window, so the ten slots always cover a whole window.
func slotNumber(now thclock.Instant, r RetryBudgetRule) int64 {
	return int64(now.Mono / max(1, r.Window/(budgetSlots-1)))
}

// WithAttempts returns the budget with n more attempts counted, made by any VM.
// Retries are attempts too.
func (b RetryBudget) WithAttempts(now thclock.Instant, r RetryBudgetRule, n float64) RetryBudget {
	b.slot(now, r).attempts += n
	return b
}

// WithRetries returns the budget with n of the counted attempts marked as
// retries.
func (b RetryBudget) WithRetries(now thclock.Instant, r RetryBudgetRule, n float64) RetryBudget {
	b.slot(now, r).retries += n
	return b
}

// HasRoom reports whether one more retry is within the budget.
func (b RetryBudget) HasRoom(now thclock.Instant, r RetryBudgetRule) bool {
	retries, allowed := b.Usage(now, r)
	return retries+1 <= allowed
}

// UsedShare returns the share of the budget that would be in use after one more
// retry, at most 1.
func (b RetryBudget) UsedShare(now thclock.Instant, r RetryBudgetRule) float64 {
	retries, allowed := b.Usage(now, r)
	return min(1, (retries+1)/max(1, allowed))
}

// Usage returns the number of retries made in the window and the number
// allowed in it.
func (b RetryBudget) Usage(now thclock.Instant, r RetryBudgetRule) (retries, allowed float64) {
	newest := slotNumber(now, r)
	var attempts float64
	for _, s := range b.slots {
		if newest-s.number < budgetSlots {
			attempts += s.attempts
			retries += s.retries
		}
	}
	return retries, budgetUsableShare * (r.Slack + r.Ratio*max(0, attempts-retries))
}
