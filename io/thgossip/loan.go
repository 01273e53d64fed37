package thgossip

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thview"
)

// loanTimeout is how long a VM waits for another one's answer to a request for a loan.
// It covers a round trip between availability zones and a busy VM; a caller waits
// meanwhile.
const loanTimeout = 25 * time.Millisecond

// loans holds the requests for loans that wait for an answer.
type loans struct {
	mu         sync.Mutex
	lastNumber uint32
	waiting    map[uint32]chan thfleet.Loan
}

// begin returns the number of a new request and the channel that gets the answer.
func (l *loans) begin() (uint32, <-chan thfleet.Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = make(map[uint32]chan thfleet.Loan)
	}
	l.lastNumber++
	answer := make(chan thfleet.Loan, 1)
	l.waiting[l.lastNumber] = answer
	return l.lastNumber, answer
}

func (l *loans) end(number uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// deliver hands an answer to the request that waits for it. Only the first answer to a
// request counts: a doubled datagram must not add to the budget twice.
func (l *loans) deliver(loan thfleet.Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, ok := l.waiting[loan.Number]; ok {
		delete(l.waiting, loan.Number)
		answer <- loan
	}
}

// BorrowRetry asks other VMs, one after the other, to lend what this VM's part of the
// service's retry budget lacks for one more retry. It returns when they have lent
// enough, or when all that it asked had too little or did not answer in time. An amount
// that is lent too late is lost to both VMs.
func (x *Exchange) BorrowRetry(service string) {
	var lenders []thfleet.Peer
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) { _, lenders = v.PrepareLoan(now, service) })
	for _, p := range lenders {
		if !x.borrowFrom(p, service) {
			return
		}
	}
	if len(lenders) > 0 {
		x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
			if !v.HasRetryBudget(now, service) {
				v.RecordNoLoan(now, service)
			}
		})
	}
}

// borrowFrom asks one VM for a loan and reports whether this VM still lacks something.
func (x *Exchange) borrowFrom(p thfleet.Peer, service string) (lacking bool) {
	number, answer := x.loans.begin()
	defer x.loans.end(number)
	var n thfleet.Notice
	var askedAt thclock.Instant
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
		askedAt = now
		var request thfleet.LoanRequest
		if request, _ = v.PrepareLoan(now, service); request.Thousandths == 0 {
			return
		}
		request.Number = number
		n = v.Introduction(false)
		n.Identity, n.LoanRequest = nil, &request
	})
	if n.LoanRequest == nil {
		return false
	}
	x.charge(askedAt, x.sendTo(n, []thfleet.Peer{p}), 1)
	select {
	case loan := <-answer:
		x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) { v.AddLoan(now, loan) })
	case <-time.After(loanTimeout):
	case <-x.done:
		return false
	}
	return true
}

// lend answers a request for a loan.
func (x *Exchange) lend(request thfleet.LoanRequest, to string) {
	var n thfleet.Notice
	var now thclock.Instant
	x.options.LockedView.WithView(func(t thclock.Instant, v *thview.View) {
		now = t
		loan := v.Lend(now, request)
		loan.Number = request.Number
		n = v.Introduction(false)
		n.Identity, n.Loan = nil, &loan
	})
	x.charge(now, x.sendTo(n, []thfleet.Peer{{Identity: thfleet.Identity{Address: to}}}), 1)
}
