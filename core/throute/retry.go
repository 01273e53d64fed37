package throute

import (
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
)

// Budget bounds repeats by a share of recent successes, so that repeats cannot
// multiply a storm. The zero Budget allows a few repeats before any success.
type Budget struct {
	spent  float64
	earned float64
}

const (
	// failureShare is how many repeats of failed requests one success pays for.
	failureShare = 0.2
	// shedShare is how many repeats of shed requests one success pays for. A
	// shed request costs its target next to nothing.
	shedShare = 1.0
	// budgetStart is the credit, in repeats, of a service without successes.
	budgetStart = 3
	// budgetMax bounds the saved-up credit, in repeats.
	budgetMax = 20
)

// WithSuccess returns the budget after one success.
func (b Budget) WithSuccess() Budget {
	b.earned += failureShare
	if over := b.earned - b.spent - (budgetMax - budgetStart); over > 0 {
		b.earned -= over
	}
	return b
}

// WithRepeat returns the budget after one repeat that costs the given share of
// a whole one, and false if that would leave less credit than the reserve.
func (b Budget) WithRepeat(cost, reserve float64) (Budget, bool) {
	if budgetStart+b.earned-b.spent < cost+reserve {
		return b, false
	}
	b.spent += cost
	return b, true
}

// Decision says what follows an attempt. The set of decisions is sealed.
type Decision interface{ isDecision() }

// Deliver passes the attempt's answer on.
type Deliver struct{}

// Refuse gives up with the error.
type Refuse struct{ Err error }

// Repeat sends the request to another target after the pause.
type Repeat struct {
	Pause time.Duration
	// Cost is what the repeat takes from the budget.
	Cost float64
}

func (Deliver) isDecision() {}
func (Refuse) isDecision()  {}
func (Repeat) isDecision()  {}

const (
	maxFailureAttempts = 3
	maxShedAttempts    = 6
	shedPause          = 2 * time.Millisecond
)

// IsShed reports whether the attempt's answer says that the target did not run
// the request.
func IsShed(q *threquest.Request, a threquest.Attempt) bool {
	return a.Err == nil && a.Answer != nil && q.Service.ShedStatus != 0 && a.Answer.Status == q.Service.ShedStatus
}

// NotRun reports whether the attempt surely did not run the request: no byte
// of it left, or the target says that it shed it. An answer of any other kind
// shows that it ran, whatever the attempt says of what was sent.
func NotRun(q *threquest.Request, a threquest.Attempt) bool {
	if a.Err != nil {
		return !a.Sent
	}
	return IsShed(q, a)
}

// AfterAttempt decides what follows the n-th attempt, counted from one. A
// request that is not safe to repeat is only repeated if it surely did not run.
func AfterAttempt(q *threquest.Request, a threquest.Attempt, n int) Decision {
	switch {
	case IsShed(q, a):
		if n >= maxShedAttempts {
			return Refuse{therror.New(therror.Shed, "%d targets shed the request", n)}
		}
		return Repeat{Pause: shedPause << min(n-1, maxShedAttempts), Cost: failureShare / shedShare}
	case a.Err == nil && (a.Answer == nil || !isServerFailure(a.Answer.Status)):
		return Deliver{}
	case n >= maxFailureAttempts || !NotRun(q, a) && !q.RepeatSafe():
		return giveUp(a)
	case endsHere(a.Err):
		return giveUp(a)
	}
	return Repeat{Cost: 1}
}

// endsHere reports whether no other target could do better, because the caller
// is gone or this VM itself refuses the request.
func endsHere(err error) bool {
	switch therror.KindOf(err) {
	case therror.CallerGone, therror.NotFresh, therror.KeyUnknown, therror.Quarantined:
		return true
	}
	return false
}

func giveUp(a threquest.Attempt) Decision {
	if a.Err == nil {
		return Deliver{}
	}
	return Refuse{a.Err}
}

func isServerFailure(status int) bool {
	return status == 500 || status == 502 || status == 503 || status == 504
}
