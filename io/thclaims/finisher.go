package thclaims

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thstore"
)

const (
	finishInterval = time.Second
	// finishWait is how long one try to write an end waits for its turn.
	finishWait = 2 * storeTimeout
	// maxPending bounds the claims whose end the store has not taken; beyond
	// it the oldest stay as they are, which refuses their resends.
	maxPending = 4096
	// maxPendingBytes bounds the recorded answers among them; beyond it, only
	// that the request ran is recorded.
	maxPendingBytes = 8 << 20
	// finishTogether is how many ends are written side by side, so that they
	// share transactions.
	finishTogether = maxBatch
)

// finisher writes the ends of claims and keeps those that the store did not
// take, to write them later. Until an end is written, this VM goes by it.
type finisher struct {
	claims *Claims
	mu     sync.Mutex
	// ends holds the claims whose ends are not known to be written, by their
	// rows' keys.
	ends map[string]*ending
	// bytes are of the answers in ends.
	bytes int
}

// ending is a claim whose end is to be written.
type ending struct {
	held thclaim.Held
	// busy is set while somebody writes it.
	busy bool
}

// start writes the claim's end in the background and returns a channel that is
// closed after the first try.
func (f *finisher) start(h thclaim.Held) <-chan struct{} {
	done := make(chan struct{})
	e, ok := f.keep(h, true)
	if !ok {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		f.finish(e)
	}()
	return done
}

// keep keeps a claim to write its end, and reports whether there was room.
func (f *finisher) keep(h thclaim.Held, busy bool) (*ending, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ends) >= maxPending {
		f.claims.options.Log.Log(thevent.ClaimUnresolved, thevent.F("claim", h.Key))
		return nil, false
	}
	if f.ends == nil {
		f.ends = make(map[string]*ending)
	}
	h = f.slimmed(h)
	f.forget(f.ends[h.Key])
	e := &ending{held: h, busy: busy}
	f.ends[h.Key] = e
	f.bytes += answerBytes(h)
	return e, true
}

// slimmed takes the answer out of the claim if there is no room for it.
func (f *finisher) slimmed(h thclaim.Held) thclaim.Held {
	if answerBytes(h) == 0 || f.bytes+answerBytes(h) <= maxPendingBytes {
		return h
	}
	dropped := thclaim.Answer{Status: h.Claim.Answer.Status, Dropped: true}
	h.Claim = h.Claim.WithState(h.Claim.State, &dropped)
	return h
}

func answerBytes(h thclaim.Held) int {
	if h.Claim.Answer == nil {
		return 0
	}
	return len(h.Claim.Answer.Body)
}

// forget drops a claim; the lock is held.
func (f *finisher) forget(e *ending) {
	if e == nil {
		return
	}
	f.bytes -= answerBytes(e.held)
	delete(f.ends, e.held.Key)
}

// finish tries to write the end, and forgets the claim if that is done.
func (f *finisher) finish(e *ending) bool {
	ok := f.write(e.held)
	f.mu.Lock()
	defer f.mu.Unlock()
	e.busy = false
	if ok && f.ends[e.held.Key] == e {
		f.forget(e)
	}
	return ok
}

// ended returns the row as it will stand once a claim's end is written, if
// this VM knows that it ended.
func (f *finisher) ended(key string) (thstore.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.ends[key]
	if e == nil || e.held.Version == 0 {
		return thstore.Row{}, false
	}
	return thstore.Row{Key: key, Version: e.held.Version + 1, Value: e.held.Claim.Encode()}, true
}

func (f *finisher) pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ends)
}

// idle returns the ends that nobody writes, and takes them.
func (f *finisher) idle() []*ending {
	f.mu.Lock()
	defer f.mu.Unlock()
	var es []*ending
	for _, e := range f.ends {
		if !e.busy {
			e.busy = true
			es = append(es, e)
		}
	}
	return es
}

// retry tries each waiting claim once more, some side by side, until the store
// fails.
func (f *finisher) retry() {
	var down atomic.Bool
	for es := range slices.Chunk(f.idle(), finishTogether) {
		var wait sync.WaitGroup
		for _, e := range es {
			if down.Load() {
				f.release(e)
				continue
			}
			wait.Go(func() {
				if !f.finish(e) {
					down.Store(true)
				}
			})
		}
		wait.Wait()
	}
}

func (f *finisher) release(e *ending) {
	f.mu.Lock()
	e.busy = false
	f.mu.Unlock()
}

// write reports whether nothing is left to be written.
func (f *finisher) write(h thclaim.Held) bool {
	if h.Version == 0 {
		r, err := f.read(h.Key)
		if err != nil {
			return false
		}
		var left bool
		if h, left = h.Found(r); !left {
			return true
		}
	}
	if !f.putObject(&h) {
		return false
	}
	return h.Recorded(f.claims.gatherer.write(h.Key, h.Version, h.Claim.Encode(), f.claims.options.Clock.Now().Add(finishWait)))
}

func (f *finisher) read(key string) (thstore.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return f.claims.options.Platform.ReadRow(ctx, key)
}

// putObject stores a body that is too large for the row.
func (f *finisher) putObject(h *thclaim.Held) bool {
	a := h.Claim.Answer
	if a == nil || a.Object == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := f.claims.options.Platform.PutObject(ctx, a.Object, a.Body); err != nil {
		return false
	}
	inRow := *a
	inRow.Body = nil
	h.Claim = h.Claim.WithState(h.Claim.State, &inRow)
	return true
}
