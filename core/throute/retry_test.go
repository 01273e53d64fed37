package throute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

// TestUnsafeRequestRunsOnce: after an attempt that may have run, a request
// that is not safe to repeat is never repeated.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &threquest.Request{Method: "POST", Service: thconfig.Service{ShedStatus: 429}, Deadline: noon.Add(time.Minute)}
		a := drawAttempt(t, "a", noon)
		_, again := throute.AfterAttempt(q, a, 1).(throute.Repeat)
		notRun := a.Err != nil && !a.Sent || a.Err == nil && a.Answer.Status == 429
		assert.Assert(t, !again || notRun, "%+v", a)
		assert.Equal(t, throute.NotRun(q, a), notRun)
	})
}

// TestRefusalIsTrue: a refusal says notRun only if no attempt may have run.
func TestRefusalIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &threquest.Request{Method: "GET", Service: thconfig.Service{ShedStatus: 429}, Deadline: noon.Add(time.Minute)}
		try := throute.Try{Request: q}
		mayHaveRun := false
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			a := drawAttempt(t, "a", noon)
			mayHaveRun = mayHaveRun || !throute.NotRun(q, a)
			try.Note(a)
		}
		kind := rapid.SampledFrom([]therror.Kind{therror.Shed, therror.QueueTimeout, therror.NoTarget, therror.ConnectFailed}).Draw(t, "kind")
		err := try.Refusal(therror.New(kind, ""))
		promised := therror.KindOf(err).Answer().Outcome == therror.NotRun
		assert.Equal(t, promised, !mayHaveRun, "%v", err)
	})
}

// TestBudgetBoundsRepeats: whatever the order of successes and failures,
// repeats stay within a share of the successes and a fixed start.
func TestBudgetBoundsRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b throute.Budget
		successes, repeats := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				b = b.WithSuccess()
				successes++
				continue
			}
			var ok bool
			if b, ok = b.WithRepeat(1, 0); ok {
				repeats++
			}
			assert.Assert(t, float64(repeats) <= 3+0.2*float64(successes)+1e-6)
		}
	})
}
