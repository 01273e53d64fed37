package thview_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// delayedNotice is a notice on its way.
type delayedNotice struct {
	from      int
	notice    thfleet.Notice
	arrivesAt time.Duration
}

// sheddingFleet is a fleet whose targets reject all requests once shedding is set,
// and whose notices take a while. It counts what a service's retry budget limits.
type sheddingFleet struct {
	*fleet
	shedding bool
	underWay []delayedNotice
	// retries holds when each retry was sent.
	retries []time.Duration
}

// forward sends one request of a random VM to targets until the VM gives up, as
// thforward does.
func (f *sheddingFleet) forward(delay time.Duration) {
	vm := f.rng.IntN(len(f.views))
	v := f.views[vm]
	request := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: thtable.Idempotent, MaxAttempts: 2, LatencyObjectiveMillis: 2000},
		Objective: f.instant().Add(2 * time.Second), Deadline: f.instant().Add(10 * time.Second),
	}
	var tried []string
	var attempts thpick.Attempts
	for {
		p, refusal := v.Pick(f.instant(), request, "s", tried, true)
		if refusal != nil {
			break
		}
		if len(tried) > 0 {
			f.retries = append(f.retries, f.now)
		}
		tried = append(tried, p.Target.ID)
		if !f.shedding {
			v.Finish(f.instant(), p, request, thhealth.Answered, 100*time.Millisecond)
			break
		}
		attempts = attempts.WithEnd(thpick.NotRun)
		v.Finish(f.instant(), p, request, thhealth.Rejected, time.Millisecond)
		rules := thpick.RetryRules{Retryable: true, MaxAttempts: 2, ExpectedLatency: 100 * time.Millisecond, Deadline: request.Deadline}
		if _, retry := thpick.Decide(f.instant(), rules, attempts, thpick.NotRun, v.HasRetryBudget(f.instant(), "s")).(thpick.Retry); !retry {
			break
		}
	}
	for _, o := range v.TakeNotices(f.instant()) {
		f.underWay = append(f.underWay, delayedNotice{vm, o.Notice, f.now + delay})
	}
}

// deliver delivers the notices that have arrived.
func (f *sheddingFleet) deliver() {
	for len(f.underWay) > 0 && f.underWay[0].arrivesAt <= f.now {
		d := f.underWay[0]
		f.underWay = f.underWay[1:]
		for i, v := range f.views {
			if i != d.from {
				v.Receive(f.instant(), d.notice)
			}
		}
	}
}

// countWithin returns how many of the sorted times lie in the window from the given
// time on.
func countWithin(times []time.Duration, from, window time.Duration) (n int) {
	for _, t := range times {
		if t >= from && t < from+window {
			n++
		}
	}
	return n
}

// TestRetriesStayWithinBudgetWhenNoticesAreLate lets all targets of a service reject
// requests while VMs learn of each other's retries up to a second later.
func TestRetriesStayWithinBudgetWhenNoticesAreLate(t *testing.T) {
	const (
		vms, perSecond = 64, 450
		noticeDelay    = time.Second
	)
	rule := thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 186}
	f := &sheddingFleet{fleet: newFleet(vms, 96)}
	for _, v := range f.views {
		v.SetRules(rule, 0.7)
	}
	f.introduceAll()
	const answeredSpan, shedSpan = 10 * time.Second, 12 * time.Second
	startedAt := f.now
	for until := f.now + answeredSpan + shedSpan; f.now < until; f.now += time.Second / perSecond {
		f.shedding = f.now >= startedAt+answeredSpan
		f.deliver()
		f.forward(noticeDelay)
	}
	allowed := rule.Slack + rule.Ratio*perSecond*rule.Window.Seconds()
	for from := startedAt; from < f.now; from += 100 * time.Millisecond {
		retries := countWithin(f.retries, from, rule.Window)
		assert.Assert(t, float64(retries) <= allowed, "%d retries from %s on, %.0f are allowed", retries, from, allowed)
	}
	assert.Assert(t, float64(len(f.retries)) >= allowed/2, "only %d retries", len(f.retries))
}
