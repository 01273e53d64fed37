package throute

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

const (
	// queueMax bounds the requests that wait for one service.
	queueMax = 512
	// quantum is what a customer gets to spend in each round, in requests of
	// ordinary cost.
	quantum = 1.0
	// maxDebt bounds how far back a customer's costly requests put it.
	maxDebt = 8 * quantum
)

// Waiting is one request in a queue.
type Waiting[T any] struct {
	Item     T
	Customer string
	// Cost is relative to an ordinary request; zero counts as one.
	Cost     float64
	Deadline thclock.Instant
	// Since is when the request began to wait.
	Since thclock.Instant
}

func (w Waiting[T]) cost() float64 {
	if w.Cost <= 0 {
		return 1
	}
	return w.Cost
}

// Queue holds the requests that wait for one service and serves the customers
// by deficit round robin, so that each gets the same share however much the
// others send. The zero Queue is empty.
type Queue[T any] struct {
	// Stale is how long a customer's oldest request may have waited before its
	// newest goes first: then there are more than can be served, and serving
	// them in order would serve them all late. Zero keeps the order.
	Stale time.Duration

	lines map[string]*line[T]
	// sparse holds the customers that had nothing waiting until lately. They go
	// first, for one quantum, so that few requests hardly wait for many.
	sparse []*line[T]
	// round holds the others, the next one first.
	round []*line[T]
	size  int
}

type line[T any] struct {
	customer string
	waiting  []Waiting[T]
	credit   float64
	// fresh is whether the customer's turn has not begun.
	fresh bool
	// inRound is whether the customer stands in the round.
	inRound bool
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.size }

// Waiting returns how many requests of the customer wait.
func (q *Queue[T]) Waiting(customer string) int {
	if l := q.lines[customer]; l != nil {
		return len(l.waiting)
	}
	return 0
}

// Push adds a request. A full queue makes room by giving up the newest request
// of the customer with most waiting, which it returns; it fails with QueueFull
// if that customer is the request's own.
func (q *Queue[T]) Push(w Waiting[T]) (displaced []Waiting[T], err error) {
	if q.size >= queueMax {
		longest := q.longest()
		if longest.customer == w.Customer || len(longest.waiting) <= q.Waiting(w.Customer)+1 {
			return nil, therror.New(therror.QueueFull, "%d requests are waiting", q.size)
		}
		last := len(longest.waiting) - 1
		displaced = append(displaced, longest.waiting[last])
		longest.waiting = longest.waiting[:last]
		q.size--
	}
	l := q.line(w.Customer)
	if !l.inRound {
		l.fresh, l.inRound = true, true
		if l.credit < 0 {
			q.round = append(q.round, l)
		} else {
			q.sparse = append(q.sparse, l)
		}
	}
	l.waiting = append(l.waiting, w)
	q.size++
	return displaced, nil
}

func (q *Queue[T]) line(customer string) *line[T] {
	l := q.lines[customer]
	if l == nil {
		l = &line[T]{customer: customer}
		if q.lines == nil {
			q.lines = make(map[string]*line[T])
		}
		q.lines[customer] = l
	}
	return l
}

func (q *Queue[T]) longest() *line[T] {
	var longest *line[T]
	for _, l := range q.lines {
		if longest == nil || len(l.waiting) > len(longest.waiting) ||
			len(l.waiting) == len(longest.waiting) && l.customer < longest.customer {
			longest = l
		}
	}
	return longest
}

// Pop takes out the next request, and with it those found past their deadline.
func (q *Queue[T]) Pop(now thclock.Instant) (next Waiting[T], expired []Waiting[T], ok bool) {
	for len(q.sparse)+len(q.round) > 0 {
		l := q.head()
		for len(l.waiting) > 0 && now.Passed(l.waiting[0].Deadline) {
			expired = append(expired, q.shift(l))
		}
		if len(l.waiting) == 0 {
			q.retire(l)
			continue
		}
		if l.fresh {
			l.credit = min(l.credit+quantum, quantum)
			l.fresh = false
		}
		if c := l.waiting[0].cost(); l.credit >= min(c, quantum) {
			l.credit = max(l.credit-c, -maxDebt)
			return q.take(l, now), expired, true
		}
		q.rotate(l)
	}
	return next, expired, false
}

func (q *Queue[T]) head() *line[T] {
	if len(q.sparse) > 0 {
		return q.sparse[0]
	}
	return q.round[0]
}

// rotate ends the customer's turn: it is now at the end of the round.
func (q *Queue[T]) rotate(l *line[T]) {
	q.dropHead()
	q.round = append(q.round, l)
	l.fresh = true
}

func (q *Queue[T]) dropHead() {
	if len(q.sparse) > 0 {
		q.sparse = q.sparse[1:]
		return
	}
	q.round = q.round[1:]
}

// take takes out the customer's oldest request, or its newest if the oldest is
// stale.
func (q *Queue[T]) take(l *line[T], now thclock.Instant) Waiting[T] {
	if q.Stale <= 0 || now.Sub(l.waiting[0].Since) <= q.Stale {
		return q.shift(l)
	}
	last := len(l.waiting) - 1
	w := l.waiting[last]
	l.waiting = l.waiting[:last]
	q.size--
	return w
}

func (q *Queue[T]) shift(l *line[T]) Waiting[T] {
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	q.size--
	return w
}

// retire takes the customer at the head out, once nothing of it waits. One
// that was just served as sparse has to go through the round first, so that
// coming back soon is no way to stay ahead. A debt is kept while others wait.
func (q *Queue[T]) retire(l *line[T]) {
	if len(q.sparse) > 0 && len(q.round) > 0 {
		q.rotate(l)
		return
	}
	q.dropHead()
	l.inRound = false
	if l.credit >= 0 {
		delete(q.lines, l.customer)
	}
	if len(q.sparse)+len(q.round) == 0 {
		clear(q.lines)
	}
}

// Charge takes from the customer what its request cost beyond what Push knew,
// so that slow requests count for more than quick ones.
func (q *Queue[T]) Charge(customer string, cost float64) {
	if q.size == 0 || !(cost > 0) {
		return
	}
	l := q.line(customer)
	l.credit = max(l.credit-cost, -maxDebt)
}

// Remove takes out the first waiting request that matches and reports whether
// there was one.
func (q *Queue[T]) Remove(customer string, match func(T) bool) bool {
	l := q.lines[customer]
	if l == nil {
		return false
	}
	for i, w := range l.waiting {
		if match(w.Item) {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			q.size--
			return true
		}
	}
	return false
}

// Ahead returns about how many requests are served before a new one of the
// customer: its own that wait, and as many of each other customer.
func (q *Queue[T]) Ahead(customer string) int {
	own := q.Waiting(customer)
	ahead := 0
	for _, l := range q.sparse {
		ahead += min(len(l.waiting), own+1)
	}
	if own == 0 {
		return ahead
	}
	for _, l := range q.round {
		ahead += min(len(l.waiting), own+1)
	}
	return ahead
}
