package thpick

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

// AttemptEnd classifies how one attempt ended, as far as the choice between
// answer, retry and refusal depends on it.
type AttemptEnd uint8

// The ends of an attempt.
const (
	// Answered means a complete answer that is passed on to the caller,
	// whatever its status.
	Answered AttemptEnd = iota
	// Failure means a complete answer that reports a failure of the target.
	Failure
	// NotRun means that the target assured that it did not run the request.
	NotRun
	// NotSent means that no byte of the request was sent.
	NotSent
	// Lost means that the request may have run, but no usable answer arrived.
	Lost
	// TimedOut means that the time for the attempt ran out.
	TimedOut
)

var endNames = [...]string{
	Answered: "answered", Failure: "failure", NotRun: "notRun", NotSent: "notSent", Lost: "lost", TimedOut: "late",
}

// String returns the end's name in logs and metrics.
func (e AttemptEnd) String() string { return endNames[e] }

// Attempts counts the attempts of one request so far. It is immutable.
type Attempts struct {
	// MayHaveRun counts the attempts that a target may have run.
	MayHaveRun int
	// Total counts all attempts, including those that were not sent.
	Total int
}

// WithEnd returns the counts with one more attempt, which ended with e.
func (a Attempts) WithEnd(e AttemptEnd) Attempts {
	a.Total++
	if e != NotRun && e != NotSent {
		a.MayHaveRun++
	}
	return a
}

// Decision is what to do after an attempt: Deliver, Retry or Refuse.
type Decision interface{ decision() }

// Deliver passes the target's answer on to the caller.
type Deliver struct{}

// Retry sends the request to another target.
type Retry struct{}

// Refuse answers the caller with a refusal of the given kind.
type Refuse struct{ Kind therror.Kind }

func (Deliver) decision() {}
func (Retry) decision()   {}
func (Refuse) decision()  {}

// maxRejections is how many attempts a request may have in addition to
// RetryRules.MaxAttempts, for targets that reject it or are unreachable.
const maxRejections = 4

// RetryRules limits the attempts of one request.
type RetryRules struct {
	// Retryable is whether the request may run more than once.
	Retryable bool
	// MaxAttempts is how many targets may run the request.
	MaxAttempts int
	// ExpectedLatency is the median latency of the route's answers.
	ExpectedLatency time.Duration
	Deadline        thclock.Instant
}

// Decide returns what to do after an attempt that ended with e. The counts in a
// include that attempt; withinBudget is whether the retry budget has room for one
// more retry.
func Decide(now thclock.Instant, r RetryRules, a Attempts, e AttemptEnd, withinBudget bool) Decision {
	if e == Answered {
		return Deliver{}
	}
	// With less than half the expected latency left, the answer would almost
	// surely be too late, and the retry would only load a target.
	inTime := now.Add(r.ExpectedLatency / 2).Before(r.Deadline)
	mayRetry := withinBudget && inTime && a.Total < maxRejections+r.MaxAttempts && a.MayHaveRun < max(1, r.MaxAttempts)
	if mayRetry && (a.MayHaveRun == 0 || r.Retryable) {
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

// ShouldHedge decides whether to send a hedged attempt while another attempt is
// under way and overdue. The counts in a don't include the one under way. Only
// retryable requests are hedged, since both attempts may run.
func ShouldHedge(now thclock.Instant, r RetryRules, a Attempts, withinBudget bool) bool {
	inTime := now.Add(r.ExpectedLatency / 2).Before(r.Deadline)
	return r.Retryable && withinBudget && inTime && a.MayHaveRun+1 < r.MaxAttempts
}
