package thbalance

import (
	"slices"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

// try follows one request through its attempts.
type try struct {
	request *threquest.Request
	count   int
	tried   []*target
	// mayHaveRun is set by any attempt that is not known not to have run.
	mayHaveRun bool
	// last is the outcome of the latest such attempt.
	last error
}

func (t *try) note(a threquest.Attempt) {
	t.count++
	if throute.NotRun(t.request, a) {
		return
	}
	t.mayHaveRun = true
	t.last = a.Err
}

func (t *try) triedTarget(g *target) bool { return slices.Contains(t.tried, g) }

// refusal keeps the promise of a NotRun error: if an earlier attempt may have
// run, the caller learns that attempt's error instead.
func (t *try) refusal(err error) error {
	if !t.mayHaveRun || therror.KindOf(err).Answer().Outcome != therror.NotRun {
		return err
	}
	if t.last != nil {
		return t.last
	}
	return therror.Wrap(therror.AnswerLost, err, "an earlier attempt failed")
}
