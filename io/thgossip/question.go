package thgossip

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thview"
)

const (
	// presenceTimeout is how long a VM that is next in line for a part of a limit waits
	// for a sign of the VM before it, and presenceChecks how often it asks.
	presenceTimeout = 15 * time.Millisecond
	presenceChecks  = 2
)

// questions holds the requests for tokens that wait for an answer.
type questions struct {
	mu         sync.Mutex
	lastNumber uint32
	waiting    map[uint32]chan thfleet.Tokens
}

// begin returns the number of a new request and the channel that gets the answer.
func (q *questions) begin() (uint32, <-chan thfleet.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[uint32]chan thfleet.Tokens)
	}
	q.lastNumber++
	answer := make(chan thfleet.Tokens, 1)
	q.waiting[q.lastNumber] = answer
	return q.lastNumber, answer
}

func (q *questions) end(number uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
}

// deliver hands an answer to the request that waits for it. Only the first answer to a
// request counts: a doubled datagram must not give tokens twice.
func (q *questions) deliver(t thfleet.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answer, ok := q.waiting[t.Number]; ok {
		delete(q.waiting, t.Number)
		answer <- t
	}
}

// Ask asks a VM for tokens and returns its answer, and false if none came in time.
// Tokens that arrive too late are lost to both VMs.
func (x *Exchange) Ask(p thfleet.Peer, r thfleet.TokenRequest) (thfleet.Tokens, bool) {
	return x.ask(p, r, thview.QuestionTimeout)
}

func (x *Exchange) ask(p thfleet.Peer, r thfleet.TokenRequest, wait time.Duration) (thfleet.Tokens, bool) {
	number, answer := x.questions.begin()
	defer x.questions.end(number)
	r.Number = number
	x.send(func(_ thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer) {
		return v.TokenRequest(r), []thfleet.Peer{p}
	})
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case t := <-answer:
		return t, true
	case <-timeout.C:
	case <-x.done:
	}
	return thfleet.Tokens{}, false
}

// giveTokens answers another VM's request for tokens. If a VM before this one in the
// line for a part of a limit does not answer, this VM takes over the part.
func (x *Exchange) giveTokens(r thfleet.TokenRequest, sender thfleet.Peer) {
	var tokens thfleet.Tokens
	var before *thfleet.Peer
	x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) { tokens, before = v.GiveTokens(now, r) })
	if before == nil {
		x.answer(tokens, sender)
		return
	}
	x.goroutines.Go(func() {
		if !x.isPresent(*before) {
			x.options.LockedView.WithView(func(now thclock.Instant, v *thview.View) {
				v.Fleet.Suspect(now, before.Key)
				tokens, _ = v.GiveTokens(now, r)
			})
		}
		x.answer(tokens, sender)
	})
}

// isPresent reports whether a VM answers one of presenceChecks questions.
func (x *Exchange) isPresent(p thfleet.Peer) bool {
	for range presenceChecks {
		if _, ok := x.ask(p, thfleet.TokenRequest{Kind: thfleet.NoTokens}, presenceTimeout); ok {
			return true
		}
	}
	return false
}

func (x *Exchange) answer(t thfleet.Tokens, to thfleet.Peer) {
	x.send(func(_ thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer) {
		return v.Tokens(t), []thfleet.Peer{to}
	})
}
