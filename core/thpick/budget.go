package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// budgetSlots is the number of parts that a budget's window is kept in.
	budgetSlots = 10
	// budgetUsableShare is the part of the allowed repeats that is used; the rest is
	// for repeats that several VMs decide on before they hear of each other.
	budgetUsableShare = 0.75
)

// RetryBudgetRule bounds a service's repeats over all VMs in any window.
type RetryBudgetRule struct {
	Window time.Duration
	// Ratio is the allowed repeats per request, Slack those beyond.
	Ratio, Slack float64
}

// RetryBudget counts a service's attempts and repeats over all VMs. An attempt of
// another VM counts once its end is heard of, so the bound is on the safe side.
// It is immutable; the zero RetryBudget is unused.
type RetryBudget struct {
	slots [budgetSlots]budgetSlot
}

type budgetSlot struct {
	number            int64
	attempts, retries float64
}

// slot returns the slot that now falls in, emptied if it held an older one.
func (b *RetryBudget) slot(now thclock.Instant, r RetryBudgetRule) *budgetSlot {
	n := slotNumber(now, r)
	s := &b.slots[n%budgetSlots]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	return s
}

func slotNumber(now thclock.Instant, r RetryBudgetRule) int64 {
	return int64(now.Mono / max(1, r.Window/(budgetSlots-1)))
}

// WithAttempts returns the budget after attempts of any VM, repeats among them.
func (b RetryBudget) WithAttempts(now thclock.Instant, r RetryBudgetRule, n float64) RetryBudget {
	b.slot(now, r).attempts += n
	return b
}

// WithRetries returns the budget after attempts of any VM turned out to be
// repeats.
func (b RetryBudget) WithRetries(now thclock.Instant, r RetryBudgetRule, n float64) RetryBudget {
	b.slot(now, r).retries += n
	return b
}

// HasRoom reports whether one more repeat is within the budget.
func (b RetryBudget) HasRoom(now thclock.Instant, r RetryBudgetRule) bool {
	repeats, allowed := b.state(now, r)
	return repeats+1 <= allowed
}

// UsedShare returns how much of the budget is used up, from 0 to 1.
func (b RetryBudget) UsedShare(now thclock.Instant, r RetryBudgetRule) float64 {
	repeats, allowed := b.state(now, r)
	return min(1, (repeats+1)/max(1, allowed))
}

// state returns the window's repeats and how many are allowed.
func (b RetryBudget) state(now thclock.Instant, r RetryBudgetRule) (repeats, allowed float64) {
	newest := slotNumber(now, r)
	var attempts float64
	for _, s := range b.slots {
		if newest-s.number < budgetSlots {
			attempts += s.attempts
			repeats += s.retries
		}
	}
	return repeats, budgetUsableShare * (r.Slack + r.Ratio*max(0, attempts-repeats))
}
