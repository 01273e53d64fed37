package thpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = thclock.At(time.Hour)

func well() thjudge.Belief {
	var b thjudge.Belief
	for range 4 {
		b = b.WithOutcome(now.Add(-time.Second), thjudge.Answered)
	}
	return b
}

func candidate(id string) thpick.Candidate {
	return thpick.Candidate{
		Target: thtable.Target{ID: id, Zone: "z", Slots: 2}, Belief: well(), Connected: true,
	}
}

func query() thpick.Query {
	return thpick.Query{
		Now: now, Zone: "z", Expected: 200 * time.Millisecond,
		Objective: now.Add(800 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
}

func pick(t *testing.T, q thpick.Query, cs ...thpick.Candidate) string {
	t.Helper()
	i, ok := thpick.Pick(rand.New(rand.NewPCG(1, 1)), q, cs)
	if !ok {
		return ""
	}
	return cs[i].Target.ID
}

func TestPickAvoids(t *testing.T) {
	good := candidate("good")
	for _, c := range []struct {
		name   string
		change func(c *thpick.Candidate)
	}{
		{"a target that just failed", func(c *thpick.Candidate) { c.Belief = c.Belief.WithReport(now, thjudge.Failed) }},
		{"a full target", func(c *thpick.Candidate) { c.InFlight = 2 }},
		{"a leaving target", func(c *thpick.Candidate) { c.Target.Draining = true }},
		{"a new connection", func(c *thpick.Candidate) { c.Connected = false }},
		{"a cold target", func(c *thpick.Candidate) { c.ColdUntil = now.Add(time.Second) }},
		{"a slow target", func(c *thpick.Candidate) {
			for range 5 {
				c.Belief = c.Belief.WithPace(5)
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

func TestLongBodiesStayInTheZone(t *testing.T) {
	far, near := candidate("far"), candidate("near")
	far.Target.Zone = "other"
	near.InFlight = 2
	q := query()
	assert.Equal(t, pick(t, q, far, near), "far")
	q.Bytes = 120 << 10
	assert.Equal(t, pick(t, q, far, near), "near")
}

func TestRepeatableRequestsTrySuspects(t *testing.T) {
	suspect, full := candidate("suspect"), candidate("full")
	suspect.Belief = suspect.Belief.WithReport(now, thjudge.Failed)
	full.InFlight = 5
	q := query()
	assert.Equal(t, pick(t, q, suspect, full), "full")
	q.Repeatable = true
	assert.Equal(t, pick(t, q, suspect, full), "suspect")
	q.Scarcity = 1
	assert.Equal(t, pick(t, q, suspect, full), "full")
}

// TestASuspectIsTriedRatherThanMissTheDeadline has a request choose between a
// target that is busy for longer than its caller waits, and a doubtful one.
func TestASuspectIsTriedRatherThanMissTheDeadline(t *testing.T) {
	doubtful, busy := candidate("doubtful"), candidate("busy")
	doubtful.Belief = doubtful.Belief.WithReport(now, thjudge.Failed)
	for doubtful.Belief.Bad(now) < 0.75 {
		doubtful.Belief = doubtful.Belief.WithReport(now, thjudge.Rejected)
	}
	busy.InFlight = 40
	q := query()
	assert.Equal(t, pick(t, q, busy, doubtful), "doubtful")
	q.Deadline = now.Add(time.Hour)
	assert.Equal(t, pick(t, q, busy, doubtful), "busy")
}

func TestTriedTargetsAreLeftOut(t *testing.T) {
	q := query()
	q.Tried = []string{"a"}
	assert.Equal(t, pick(t, q, candidate("a")), "")
}

func TestNewTargetsGetRequests(t *testing.T) {
	fresh := candidate("fresh")
	fresh.Belief, fresh.Connected = thjudge.Belief{}, false
	assert.Equal(t, pick(t, query(), candidate("old"), fresh), "fresh")
}

func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	c := candidate("full")
	c.InFlight = 10
	q := query()
	q.Priority = 1
	_, over := thpick.Overloaded(q, c)
	assert.Assert(t, !over)
	q.Priority = 2
	after, over := thpick.Overloaded(q, c)
	assert.Assert(t, over)
	assert.Assert(t, after > 0)
}

func TestNext(t *testing.T) {
	rules := thpick.Rules{MaxAttempts: 2, Expected: 100 * time.Millisecond, Deadline: now.Add(time.Second)}
	repeatable := rules
	repeatable.Repeatable = true
	late := repeatable
	late.Deadline = now.Add(10 * time.Millisecond)
	for _, c := range []struct {
		name       string
		rules      thpick.Rules
		before     thpick.Attempts
		end        thpick.End
		affordable bool
		want       thpick.Decision
	}{
		{"an answer", rules, thpick.Attempts{}, thpick.Answered, true, thpick.Deliver{}},
		{"a failure that may not be repeated", rules, thpick.Attempts{}, thpick.Failure, true, thpick.Deliver{}},
		{"a failure that may be repeated", repeatable, thpick.Attempts{}, thpick.Failure, true, thpick.Again{}},
		{"a failure without budget", repeatable, thpick.Attempts{}, thpick.Failure, false, thpick.Deliver{}},
		{"the last attempt fails", repeatable, thpick.Attempts{Ran: 1, Sends: 1}, thpick.Failure, true, thpick.Deliver{}},
		{"a loss that may not be repeated", rules, thpick.Attempts{}, thpick.Lost, true, thpick.Refuse{Kind: therror.AnswerLost}},
		{"a loss that may be repeated", repeatable, thpick.Attempts{}, thpick.Lost, true, thpick.Again{}},
		{"a rejection", rules, thpick.Attempts{}, thpick.NotRun, true, thpick.Again{}},
		{"a rejection after a loss", rules, thpick.Attempts{Ran: 1, Sends: 1}, thpick.NotRun, true, thpick.Refuse{Kind: therror.AnswerLost}},
		{"a rejection without budget", rules, thpick.Attempts{}, thpick.NotRun, false, thpick.Refuse{Kind: therror.Shed}},
		{"no connection", rules, thpick.Attempts{}, thpick.NotSent, true, thpick.Again{}},
		{"too late to repeat", late, thpick.Attempts{}, thpick.Late, true, thpick.Refuse{Kind: therror.AnswerLate}},
		{"too late to repeat a failure", late, thpick.Attempts{}, thpick.Failure, true, thpick.Deliver{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := thpick.Next(now, c.rules, c.before.WithEnd(c.end), c.end, c.affordable)
			assert.Equal(t, got, c.want)
		})
	}
}

func TestNextNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a thpick.Attempts
		r := thpick.Rules{
			Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max"),
			Deadline: now.Add(time.Second),
		}
		for {
			e := thpick.End(rapid.IntRange(0, int(thpick.Late)).Draw(t, "end"))
			a = a.WithEnd(e)
			d := thpick.Next(now, r, a, e, true)
			if r, ok := d.(thpick.Refuse); ok && a.Ran > 0 {
				assert.Equal(t, r.Kind.Answer().Outcome, therror.OutcomeUnknown)
			}
			if d != (thpick.Again{}) {
				break
			}
			assert.Assert(t, a.Ran == 0 || r.Repeatable)
			assert.Assert(t, a.Ran < max(1, r.MaxAttempts))
		}
	})
}

func TestBudgetBoundsRepeatsInAnyWindow(t *testing.T) {
	rule := thpick.BudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}
	var b thpick.Budget
	var spent []time.Duration
	for at := time.Hour; at < time.Hour+40*time.Second; at += 20 * time.Millisecond {
		i := thclock.At(at)
		b = b.WithAttempts(i, rule, 1)
		if b.Affords(i, rule) {
			b = b.WithAttempts(i, rule, 1).WithRepeats(i, rule, 1)
			spent = append(spent, at)
		}
	}
	begin := 0
	for end := range spent {
		for spent[end]-spent[begin] > rule.Window {
			begin++
		}
		assert.Assert(t, float64(end-begin+1) <= rule.Slack+rule.Ratio*500)
	}
	assert.Assert(t, len(spent) > 100)
}

func TestEstimateLearnsTheMedian(t *testing.T) {
	var e thpick.Estimate
	assert.Equal(t, e.Median(800*time.Millisecond).Round(time.Millisecond), 200*time.Millisecond)
	for range 60 {
		e = e.WithAnswer(500 * time.Millisecond)
	}
	assert.Assert(t, e.Median(800*time.Millisecond) > 400*time.Millisecond)
}

func TestBeside(t *testing.T) {
	rules := thpick.Rules{Repeatable: true, MaxAttempts: 2, Expected: 100 * time.Millisecond, Deadline: now.Add(time.Second)}
	once, single, late := rules, rules, rules
	once.Repeatable = false
	single.MaxAttempts = 1
	late.Deadline = now.Add(10 * time.Millisecond)
	for _, c := range []struct {
		name       string
		rules      thpick.Rules
		before     thpick.Attempts
		affordable bool
		want       bool
	}{
		{"may be repeated", rules, thpick.Attempts{}, true, true},
		{"no budget", rules, thpick.Attempts{}, false, false},
		{"may run once", once, thpick.Attempts{}, true, false},
		{"one attempt", single, thpick.Attempts{}, true, false},
		{"one ran before", rules, thpick.Attempts{Ran: 1, Sends: 1}, true, false},
		{"too late", late, thpick.Attempts{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, thpick.Beside(now, c.rules, c.before, c.affordable), c.want)
		})
	}
}
