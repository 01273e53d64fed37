package thclaims

import (
	"context"
	"sync"
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
)

// finisher writes the ends of claims and keeps those that the store did not
// take, to write them later.
type finisher struct {
	claims  *Claims
	mu      sync.Mutex
	running int
	waiting []thclaim.Held
}

// start writes the claim's end in the background and returns a channel that is
// closed after the first try.
func (f *finisher) start(h thclaim.Held) <-chan struct{} {
	done := make(chan struct{})
	f.mu.Lock()
	f.running++
	f.mu.Unlock()
	go func() {
		defer close(done)
		ok := f.write(h)
		f.mu.Lock()
		f.running--
		f.mu.Unlock()
		if !ok {
			f.keep(h)
		}
	}()
	return done
}

// keep keeps a claim to write its end later.
func (f *finisher) keep(h thclaim.Held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) < maxPending {
		f.waiting = append(f.waiting, h)
		return
	}
	f.claims.options.Log.Log(thevent.ClaimUnresolved, thevent.F("claim", h.Key))
}

func (f *finisher) pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running + len(f.waiting)
}

// retry tries each waiting claim once more.
func (f *finisher) retry() {
	f.mu.Lock()
	hs := f.waiting
	f.waiting = nil
	f.mu.Unlock()
	for i, h := range hs {
		if f.write(h) {
			continue
		}
		// The store is down: the others would only wait for it one by one.
		for _, h := range hs[i:] {
			f.keep(h)
		}
		return
	}
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
