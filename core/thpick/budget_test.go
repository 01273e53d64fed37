package thpick_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// budgetScript drives the retry budgets of a fleet's VMs by a drawn script.
type budgetScript struct {
	rule    thpick.RetryBudgetRule
	budgets []thpick.RetryBudget
	now     time.Duration
	// requests and retries hold the times at which any VM counted one.
	requests, retries []time.Duration
	// loans holds the amounts that were lent and have not arrived yet.
	loans []loanUnderWay
}

type loanUnderWay struct {
	to     int
	amount float64
}

func (s *budgetScript) instant() thclock.Instant { return thclock.At(time.Hour + s.now) }

func (s *budgetScript) vmRule() thpick.RetryBudgetRule { return s.rule.WithVMs(len(s.budgets)) }

// retry makes a retry at the VM if its budget has room.
func (s *budgetScript) retry(vm int) {
	if s.budgets[vm].HasRoom(s.instant(), s.vmRule()) {
		s.budgets[vm] = s.budgets[vm].WithRetry(s.instant(), s.vmRule())
		s.retries = append(s.retries, s.now)
	}
}

// borrow lets one VM ask another. The loan arrives with a later step or never.
func (s *budgetScript) borrow(from, to int) {
	var amount float64
	missing := 1 - s.budgets[to].Left(s.instant(), s.vmRule())
	s.budgets[from], amount = s.budgets[from].WithLent(s.instant(), s.vmRule(), missing)
	s.loans = append(s.loans, loanUnderWay{to, amount})
}

// step makes one drawn step.
func (s *budgetScript) step(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "millis")) * time.Millisecond
	vm := rapid.IntRange(0, len(s.budgets)-1).Draw(t, "vm")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		s.requests = append(s.requests, s.now)
		s.budgets[vm] = s.budgets[vm].WithRequest(s.instant(), s.vmRule())
	case 2, 3, 4:
		s.borrow(rapid.IntRange(0, len(s.budgets)-1).Draw(t, "lender"), vm)
	case 5:
		if len(s.loans) > 0 {
			l := s.loans[0]
			s.loans = s.loans[1:]
			s.budgets[l.to] = s.budgets[l.to].WithLoan(s.instant(), s.vmRule(), l.amount)
		}
	case 6:
		s.loans = nil // the notices are lost
	case 7:
		if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
			s.budgets[vm] = thpick.EmptyRetryBudget(s.instant())
		}
	}
	s.retry(vm)
}

// loanSpan is how long before a window a request may have added to a token that is used
// in it: a borrower has the token, and its lender has been refilled.
const loanSpan = 500 * time.Millisecond

// TestRetryBudgetsOfAllVMsStayWithinTheRule draws requests, retries, loans that are late
// or lost and restarts. In no window may the VMs make more retries than the rule allows
// for the requests of that window.
func TestRetryBudgetsOfAllVMsStayWithinTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &budgetScript{
			rule:    thpick.RetryBudgetRule{Window: 5 * time.Second, Ratio: 0.2, Slack: rapid.Float64Range(0, 40).Draw(t, "slack")},
			budgets: make([]thpick.RetryBudget, rapid.IntRange(1, 12).Draw(t, "vms")),
		}
		for range rapid.IntRange(100, 1500).Draw(t, "steps") {
			s.step(t)
		}
		first, firstRequest, lastRequest := 0, 0, 0
		for last, until := range s.retries {
			from := until - s.rule.Window
			for s.retries[first] < from {
				first++
			}
			for firstRequest < len(s.requests) && s.requests[firstRequest] < from-loanSpan {
				firstRequest++
			}
			for lastRequest < len(s.requests) && s.requests[lastRequest] <= until {
				lastRequest++
			}
			allowed := s.rule.Slack + s.rule.Ratio*float64(lastRequest-firstRequest)
			assert.Assert(t, float64(last-first+1) <= allowed+1e-6, "%d retries up to %s, %.2f are allowed", last-first+1, until, allowed)
		}
	})
}

// TestRetryBudgetIsUsedUpByBorrowing lets one VM of many make all retries. It guards
// against parts of the budget that only their own VM can use.
func TestRetryBudgetIsUsedUpByBorrowing(t *testing.T) {
	const vms = 40
	rule := thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}
	s := &budgetScript{rule: rule, budgets: make([]thpick.RetryBudget, vms)}
	for from := 1; from < vms; {
		s.retry(0)
		if s.budgets[0].HasRoom(s.instant(), s.vmRule()) {
			continue
		}
		s.borrow(from, 0)
		l := s.loans[len(s.loans)-1]
		if l.amount == 0 {
			from++
		}
		s.budgets[0] = s.budgets[0].WithLoan(s.instant(), s.vmRule(), l.amount)
	}
	assert.Assert(t, float64(len(s.retries)) >= 0.75*rule.Slack, "%d retries", len(s.retries))
}

func TestUnusedLoanExpires(t *testing.T) {
	rule := thpick.RetryBudgetRule{Window: 10 * time.Second, Slack: 1}
	b := thpick.EmptyRetryBudget(now).WithLoan(now, rule, 1)
	assert.Assert(t, b.HasRoom(now, rule))
	assert.Assert(t, !b.HasRoom(now.Add(time.Second), rule))
	// A suspended VM's monotonic clock stands still.
	assert.Assert(t, !b.HasRoom(thclock.Instant{Mono: now.Mono, Wall: now.Wall + time.Second}, rule))
}

// A service that fails for long needs retries in each window, not only in the first one.
func TestRetryBudgetCanBeSpentAgainAfterWindow(t *testing.T) {
	const vms = 40
	rule := thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}
	s := &budgetScript{rule: rule, budgets: make([]thpick.RetryBudget, vms)}
	retriesUntil := func(until time.Duration) int {
		before := len(s.retries)
		for ; s.now < until; s.now += 20 * time.Millisecond {
			for vm := range vms {
				s.retry(vm)
			}
		}
		return len(s.retries) - before
	}
	retriesUntil(11 * time.Second)
	for _, until := range []time.Duration{22 * time.Second, 33 * time.Second} {
		n := retriesUntil(until)
		assert.Assert(t, float64(n) >= 0.6*rule.Slack, "%d retries up to %s", n, until)
	}
}
