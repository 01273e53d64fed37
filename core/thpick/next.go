package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

// AttemptEnd is how one attempt ended, as far as it matters for the request.
type AttemptEnd uint8

// The ends of an attempt.
const (
	// Answered is a whole answer that is the caller's, whatever its status.
	Answered AttemptEnd = iota
	// Failure is a whole answer by which the target says that it failed.
	Failure
	// NotRun is a promise of the target that it did not run the request.
	NotRun
	// NotSent is an attempt of which no byte left.
	NotSent
	// Lost is an attempt that may have run and has no usable answer.
	Lost
	// TimedOut is an attempt that the time ran out for.
	TimedOut
)

var endNames = [...]string{
	Answered: "answered", Failure: "failure", NotRun: "notRun", NotSent: "notSent", Lost: "lost", TimedOut: "late",
}

// String returns the end's name in logs and metrics.
func (e AttemptEnd) String() string { return endNames[e] }

// Attempts is what one request has been through. It is immutable.
type Attempts struct {
	// MayHaveRun counts the attempts that may have run.
	MayHaveRun int
	// Total counts all attempts.
	Total int
}

// WithEnd returns the attempts after one more.
func (a Attempts) WithEnd(e AttemptEnd) Attempts {
	a.Total++
	if e != NotRun && e != NotSent {
		a.MayHaveRun++
	}
	return a
}

// Decision is what follows an attempt.
type Decision interface{ decision() }

// Deliver passes the target's answer on.
type Deliver struct{}

// Retry sends the request to another target.
type Retry struct{}

// Refuse ends the request with a refusal.
type Refuse struct{ Kind therror.Kind }

func (Deliver) decision() {}
func (Retry) decision()   {}
func (Refuse) decision()  {}

// maxRejections is how many targets may turn a request down, or not be
// reached, before it is refused.
const maxRejections = 4

// RetryRules are what a request allows.
type RetryRules struct {
	// Retryable is whether the request may run more than once.
	Retryable bool
	// MaxAttempts is how many targets may run the request.
	MaxAttempts int
	// ExpectedLatency is the usual time of an answer.
	ExpectedLatency time.Duration
	Deadline        thclock.Instant
}

// Decide decides what follows the last of the attempts. Affordable is whether
// the budget has room for one more.
func Decide(now thclock.Instant, r RetryRules, a Attempts, e AttemptEnd, affordable bool) Decision {
	if e == Answered {
		return Deliver{}
	}
	// An answer that surely comes too late is not worth a target's time.
	inTime := now.Add(r.ExpectedLatency / 2).Before(r.Deadline)
	again := affordable && inTime && a.Total < maxRejections+r.MaxAttempts && a.MayHaveRun < max(1, r.MaxAttempts)
	if again && (a.MayHaveRun == 0 || r.Retryable) {
		return Retry{}
	}
	switch {
	case e == Failure:
		return Deliver{}
	case a.MayHaveRun > 0 && e == TimedOut:
		return Refuse{therror.AnswerLate}
	case a.MayHaveRun > 0:
		return Refuse{therror.AnswerLost}
	case e == NotSent:
		return Refuse{therror.NoTarget}
	}
	return Refuse{therror.Shed}
}

// ShouldHedge decides whether a further attempt is made beside the one that is under
// way and overdue. Only what may run more than once is sent again.
func ShouldHedge(now thclock.Instant, r RetryRules, a Attempts, affordable bool) bool {
	inTime := now.Add(r.ExpectedLatency / 2).Before(r.Deadline)
	return r.Retryable && affordable && inTime && a.MayHaveRun+1 < r.MaxAttempts
}
