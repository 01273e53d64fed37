package thhealth

import (
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
)

// Classify says what an attempt that was not shed shows of its target, where
// an answer that takes longer than slowAfter is slow.
func Classify(a threquest.Attempt, slowAfter time.Duration) Outcome {
	took := a.Ended.Sub(a.Began)
	if a.Err == nil {
		switch {
		case a.Answer != nil && failure(a.Answer.Status):
			return Failed
		case float64(took) > stalledFactor*float64(slowAfter):
			return Stalled
		case took > slowAfter:
			return Slow
		}
		return Good
	}
	switch therror.KindOf(a.Err) {
	case therror.ConnectFailed, therror.AnswerBroken:
		return Failed
	case therror.AnswerLost:
		if a.Reused {
			return Silent
		}
		return Failed
	case therror.AnswerLate:
		return late(a, took, slowAfter)
	case therror.CallerGone:
		if took > slowAfter && !a.Reused {
			return Slow
		}
	}
	return None
}

// late tells a caller in a hurry from a target that does not answer.
func late(a threquest.Attempt, took, slowAfter time.Duration) Outcome {
	switch {
	case took <= slowAfter:
		return None
	case a.Reused:
		return Silent
	}
	return Late
}

// failure reports whether a status is the target's own fault.
func failure(status int) bool {
	return status >= 500 && status != 501 && status != 505
}
