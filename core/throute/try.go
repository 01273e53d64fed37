package throute

import (
	"slices"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
)

// Try follows one request through its attempts.
type Try struct {
	Request *threquest.Request

	count int
	tried []*target
	room  [4]*target
	// trial is whether the attempt under way is the trial of an ejected target.
	trial bool
	// mayHaveRun is set by any attempt that is not known not to have run.
	mayHaveRun bool
	// last is the outcome of the latest such attempt.
	last error
}

// Attempts returns how many attempts have ended.
func (t *Try) Attempts() int { return t.count }

// Note takes in the end of an attempt.
func (t *Try) Note(a threquest.Attempt) {
	t.count++
	if NotRun(t.Request, a) {
		return
	}
	t.mayHaveRun = true
	t.last = a.Err
}

func (t *Try) addTarget(g *target) {
	if t.tried == nil {
		t.tried = t.room[:0]
	}
	t.tried = append(t.tried, g)
}

func (t *Try) triedTarget(g *target) bool { return slices.Contains(t.tried, g) }

// Refusal keeps the promise of a NotRun error: if an earlier attempt may have
// run, it returns that attempt's error instead.
func (t *Try) Refusal(err error) error {
	if !t.mayHaveRun || therror.KindOf(err).Answer().Outcome != therror.NotRun {
		return err
	}
	if t.last != nil && therror.KindOf(t.last).Answer().Outcome != therror.NotRun {
		return t.last
	}
	return therror.Wrap(therror.AnswerLost, err, "an earlier attempt failed")
}
