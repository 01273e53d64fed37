package thpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = thclock.At(time.Hour)

// healthy returns the health of a target that has answered its latest requests.
func healthy() thhealth.Health {
	var h thhealth.Health
	for range 4 {
		h = h.WithOutcome(now.Add(-time.Second), thhealth.Answered)
	}
	return h
}

// candidate returns a healthy, connected target in the zone of query's request.
func candidate(id string) thpick.Candidate {
	return thpick.Candidate{
		Target: thtable.Target{ID: id, Zone: "z", Slots: 2}, Health: healthy(), HasIdleConnection: true,
	}
}

// query returns a request that cannot be retried.
func query() thpick.Query {
	return thpick.Query{
		Now: now, Zone: "z", ExpectedLatency: 200 * time.Millisecond,
		Objective: now.Add(800 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
}

// pick returns the ID of the picked candidate, and "" if none is picked.
func pick(t *testing.T, q thpick.Query, candidates ...thpick.Candidate) string {
	t.Helper()
	i, ok := thpick.Pick(rand.New(rand.NewPCG(1, 1)), q, candidates)
	if !ok {
		return ""
	}
	return candidates[i].Target.ID
}

func TestPickPrefersTargetWithoutDrawback(t *testing.T) {
	good := candidate("good")
	for _, c := range []struct {
		name   string
		change func(c *thpick.Candidate)
	}{
		{"a target that just failed", func(c *thpick.Candidate) { c.Health = c.Health.WithRemoteOutcome(now, thhealth.Failed) }},
		{"a target without a free slot", func(c *thpick.Candidate) { c.InFlight = 2 }},
		{"a draining target", func(c *thpick.Candidate) { c.Target.Draining = true }},
		{"a target without an idle connection", func(c *thpick.Candidate) { c.HasIdleConnection = false }},
		{"a target that is warming up", func(c *thpick.Candidate) { c.WarmupUntil = now.Add(time.Second) }},
		{"a slow target", func(c *thpick.Candidate) {
			for range 5 {
				c.Health = c.Health.WithLatencyRatio(5)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			worse := candidate("worse")
			c.change(&worse)
			assert.Equal(t, pick(t, query(), worse, good), "good")
		})
	}
}

func TestPickKeepsLargeBodiesInTheZone(t *testing.T) {
	far, near := candidate("far"), candidate("near")
	far.Target.Zone = "other"
	near.InFlight = 2
	q := query()
	assert.Equal(t, pick(t, q, far, near), "far")
	q.Bytes = 120 << 10
	assert.Equal(t, pick(t, q, far, near), "near")
}

// TestPickRisksSuspectTargetOnlyIfRetryable checks that a suspect target is
// preferred to a wait only while a failure there could be retried within the
// budget.
func TestPickRisksSuspectTargetOnlyIfRetryable(t *testing.T) {
	suspect, full := candidate("suspect"), candidate("full")
	suspect.Health = suspect.Health.WithRemoteOutcome(now, thhealth.Failed)
	full.InFlight = 5
	q := query()
	assert.Equal(t, pick(t, q, suspect, full), "full")
	q.Retryable = true
	assert.Equal(t, pick(t, q, suspect, full), "suspect")
	q.BudgetUsedShare = 1
	assert.Equal(t, pick(t, q, suspect, full), "full")
}

// TestPickPrefersSuspectTargetToMissingTheDeadline guards against requests that
// wait for a busy target until their caller has given up, while a target that
// will probably fail might still answer in time.
func TestPickPrefersSuspectTargetToMissingTheDeadline(t *testing.T) {
	suspect, busy := candidate("suspect"), candidate("busy")
	suspect.Health = suspect.Health.WithRemoteOutcome(now, thhealth.Failed)
	for suspect.Health.FailureProbability(now) < 0.75 {
		suspect.Health = suspect.Health.WithRemoteOutcome(now, thhealth.Rejected)
	}
	busy.InFlight = 40
	q := query()
	assert.Equal(t, pick(t, q, busy, suspect), "suspect")
	q.Deadline = now.Add(time.Hour)
	assert.Equal(t, pick(t, q, busy, suspect), "busy")
}

func TestPickLeavesOutTriedTargets(t *testing.T) {
	q := query()
	q.Tried = []string{"a"}
	assert.Equal(t, pick(t, q, candidate("a")), "")
}

func TestPickPrefersNewTarget(t *testing.T) {
	fresh := candidate("fresh")
	fresh.Health, fresh.HasIdleConnection, fresh.IsNew = thhealth.Health{}, false, true
	assert.Equal(t, pick(t, query(), candidate("old"), fresh), "fresh")
	fresh.IsNew = false // other VMs have used it
	assert.Equal(t, pick(t, query(), candidate("old"), fresh), "old")
}

// A VM hears nothing of the targets that it doesn't use. One that it has not tried is as likely
// to be failing as any, so a request that can't be retried goes there only if the others are
// worse.
func TestPickUsesUnknownExtraTargetOnlyIfOthersAreWorse(t *testing.T) {
	extra, known := candidate("extra"), candidate("known")
	extra.Health, extra.IsExtra = thhealth.Health{}, true
	known.Health = thhealth.Health{}.WithOutcome(now.Add(-time.Minute), thhealth.Answered)
	assert.Equal(t, pick(t, query(), known, extra), "known")
	for range 3 {
		known.Health = known.Health.WithRemoteOutcome(now, thhealth.Failed)
	}
	assert.Equal(t, pick(t, query(), known, extra), "extra")
}

func TestShouldShedLowPriorityFirst(t *testing.T) {
	c := candidate("full")
	c.InFlight = 10
	q := query()
	q.Priority = 1
	_, shed := thpick.ShouldShed(q, c)
	assert.Assert(t, !shed)
	q.Priority = 2
	retryAfter, shed := thpick.ShouldShed(q, c)
	assert.Assert(t, shed)
	assert.Assert(t, retryAfter > 0)
}

func TestDecide(t *testing.T) {
	rules := thpick.RetryRules{MaxAttempts: 2, ExpectedLatency: 100 * time.Millisecond, Deadline: now.Add(time.Second)}
	retryable := rules
	retryable.Retryable = true
	late := retryable
	late.Deadline = now.Add(10 * time.Millisecond)
	for _, c := range []struct {
		name         string
		rules        thpick.RetryRules
		before       thpick.Attempts
		end          thpick.AttemptEnd
		withinBudget bool
		want         thpick.Decision
	}{
		{"an answer", rules, thpick.Attempts{}, thpick.Answered, true, thpick.Deliver{}},
		{"a failure, not retryable", rules, thpick.Attempts{}, thpick.Failure, true, thpick.Deliver{}},
		{"a failure, retryable", retryable, thpick.Attempts{}, thpick.Failure, true, thpick.Retry{}},
		{"a failure, retry budget used up", retryable, thpick.Attempts{}, thpick.Failure, false, thpick.Deliver{}},
		{"the last attempt fails", retryable, thpick.Attempts{MayHaveRun: 1, Total: 1}, thpick.Failure, true, thpick.Deliver{}},
		{"a lost answer, not retryable", rules, thpick.Attempts{}, thpick.Lost, true, thpick.Refuse{Kind: therror.AnswerLost}},
		{"a lost answer, retryable", retryable, thpick.Attempts{}, thpick.Lost, true, thpick.Retry{}},
		{"a rejection", rules, thpick.Attempts{}, thpick.NotRun, true, thpick.Retry{}},
		{"a rejection after a lost answer", rules, thpick.Attempts{MayHaveRun: 1, Total: 1}, thpick.NotRun, true, thpick.Refuse{Kind: therror.AnswerLost}},
		{"a rejection, retry budget used up", rules, thpick.Attempts{}, thpick.NotRun, false, thpick.Refuse{Kind: therror.Shed}},
		{"no connection", rules, thpick.Attempts{}, thpick.NotSent, true, thpick.Retry{}},
		{"too little time left to retry after a time-out", late, thpick.Attempts{}, thpick.TimedOut, true, thpick.Refuse{Kind: therror.AnswerLate}},
		{"too little time left to retry after a failure", late, thpick.Attempts{}, thpick.Failure, true, thpick.Deliver{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := thpick.Decide(now, c.rules, c.before.WithEnd(c.end), c.end, c.withinBudget)
			assert.Equal(t, got, c.want)
		})
	}
}

// TestDecideNeverRetriesNonRetryableThatMayHaveRun guards against running a
// non-idempotent request twice, against more than MaxAttempts runs, and against a
// refusal that claims a request did not run although it may have.
func TestDecideNeverRetriesNonRetryableThatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a thpick.Attempts
		r := thpick.RetryRules{
			Retryable: rapid.Bool().Draw(t, "retryable"), MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max"),
			Deadline: now.Add(time.Second),
		}
		for {
			e := thpick.AttemptEnd(rapid.IntRange(0, int(thpick.TimedOut)).Draw(t, "end"))
			a = a.WithEnd(e)
			d := thpick.Decide(now, r, a, e, true)
			if r, ok := d.(thpick.Refuse); ok && a.MayHaveRun > 0 {
				assert.Equal(t, r.Kind.Answer().Outcome, therror.OutcomeUnknown)
			}
			if d != (thpick.Retry{}) {
				break
			}
			assert.Assert(t, a.MayHaveRun == 0 || r.Retryable)
			assert.Assert(t, a.MayHaveRun < max(1, r.MaxAttempts))
		}
	})
}

func TestRetryBudgetLimitsRetriesInAnyWindow(t *testing.T) {
	rule := thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}
	var b thpick.RetryBudget
	var retries []time.Duration
	for at := time.Hour; at < time.Hour+40*time.Second; at += 20 * time.Millisecond {
		i := thclock.At(at)
		b = b.WithRequest(i, rule)
		if b.HasRoom(i, rule) {
			b = b.WithRetry(i, rule)
			retries = append(retries, at)
		}
	}
	begin := 0
	for end := range retries {
		for retries[end]-retries[begin] > rule.Window {
			begin++
		}
		assert.Assert(t, float64(end-begin+1) <= rule.Slack+rule.Ratio*500)
	}
	assert.Assert(t, len(retries) > 100)
}

func TestLatencyEstimateApproachesTheMedian(t *testing.T) {
	var e thpick.LatencyEstimate
	assert.Equal(t, e.Median(800*time.Millisecond).Round(time.Millisecond), 200*time.Millisecond)
	for range 60 {
		e = e.WithAnswer(500 * time.Millisecond)
	}
	assert.Assert(t, e.Median(800*time.Millisecond) > 400*time.Millisecond)
}

func TestShouldHedge(t *testing.T) {
	rules := thpick.RetryRules{Retryable: true, MaxAttempts: 2, ExpectedLatency: 100 * time.Millisecond, Deadline: now.Add(time.Second)}
	notRetryable, single, late := rules, rules, rules
	notRetryable.Retryable = false
	single.MaxAttempts = 1
	late.Deadline = now.Add(10 * time.Millisecond)
	for _, c := range []struct {
		name         string
		rules        thpick.RetryRules
		before       thpick.Attempts
		withinBudget bool
		want         bool
	}{
		{"retryable", rules, thpick.Attempts{}, true, true},
		{"retry budget used up", rules, thpick.Attempts{}, false, false},
		{"not retryable", notRetryable, thpick.Attempts{}, true, false},
		{"one attempt allowed", single, thpick.Attempts{}, true, false},
		{"an earlier attempt may have run", rules, thpick.Attempts{MayHaveRun: 1, Total: 1}, true, false},
		{"too little time left", late, thpick.Attempts{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, thpick.ShouldHedge(now, c.rules, c.before, c.withinBudget), c.want)
		})
	}
}
