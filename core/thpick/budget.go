package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// budgetSlots is the number of parts that a budget's window is kept in.
	budgetSlots = 10
	// budgetShare is the part of the allowed repeats that is used; the rest is
	// for repeats that several VMs decide on before they hear of each other.
	budgetShare = 0.75
)

// BudgetRule bounds a service's repeats over all VMs in any window.
type BudgetRule struct {
	Window time.Duration
	// Ratio is the allowed repeats per request, Slack those beyond.
	Ratio, Slack float64
}

// Budget counts a service's repeats. Requests are counted by this VM alone, so
// the bound is on the safe side. It is immutable; the zero Budget is unused.
type Budget struct {
	slots [budgetSlots]budgetSlot
}

type budgetSlot struct {
	number            int64
	requests, repeats float64
}

func (b Budget) with(now thclock.Instant, r BudgetRule, requests, repeats float64) Budget {
	n := slotNumber(now, r)
	s := &b.slots[n%budgetSlots]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	s.requests += requests
	s.repeats += repeats
	return b
}

func slotNumber(now thclock.Instant, r BudgetRule) int64 {
	return int64(now.Mono / max(1, r.Window/(budgetSlots-1)))
}

// WithRequest returns the budget after a request of this VM.
func (b Budget) WithRequest(now thclock.Instant, r BudgetRule) Budget { return b.with(now, r, 1, 0) }

// WithRepeats returns the budget after repeats of any VM.
func (b Budget) WithRepeats(now thclock.Instant, r BudgetRule, n float64) Budget {
	return b.with(now, r, 0, n)
}

// Affords reports whether one more repeat is within the budget.
func (b Budget) Affords(now thclock.Instant, r BudgetRule) bool {
	newest := slotNumber(now, r)
	var requests, repeats float64
	for _, s := range b.slots {
		if newest-s.number < budgetSlots {
			requests += s.requests
			repeats += s.repeats
		}
	}
	return repeats+1 <= budgetShare*(r.Slack+r.Ratio*requests)
}
