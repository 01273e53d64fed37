package thclaims

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
)

const (
	finishInterval = time.Second
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
	waiting []held
}

// start writes the claim's end in the background and returns a channel that is
// closed after the first try.
func (f *finisher) start(h held) <-chan struct{} {
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

// add keeps a claim that may or may not have been written, to give it the state.
func (f *finisher) add(h held, s thclaim.State) {
	h.version = 0
	h.claim = h.claim.WithState(s, nil)
	f.keep(h)
}

func (f *finisher) keep(h held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) < maxPending {
		f.waiting = append(f.waiting, h)
		return
	}
	f.claims.options.Log.Log(thevent.ClaimUnresolved, thevent.F("claim", h.key))
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
func (f *finisher) write(h held) bool {
	if h.version == 0 && !f.find(&h) {
		return false
	}
	if h.version == 0 {
		return true
	}
	if !f.putObject(&h) {
		return false
	}
	err := f.claims.writer.write(h.key, h.version, h.claim.Encode())
	// Nobody but the owner writes over a claim, so a conflict means that an
	// earlier try, whose answer was lost, took effect.
	return err == nil || therror.Is(err, therror.ChangeConflict)
}

// find looks for a claim that may have been written. It reports false if the
// store could not be asked.
func (f *finisher) find(h *held) bool {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r, err := f.claims.options.Platform.ReadRow(ctx, h.key)
	if err != nil {
		return false
	}
	found, err := thclaim.Decode(r)
	if err == nil && found.Token == h.claim.Token && found.State == thclaim.Claimed {
		h.version = r.Version
	}
	return true
}

// putObject stores a body that is too large for the row.
func (f *finisher) putObject(h *held) bool {
	a := h.claim.Answer
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
	h.claim = h.claim.WithState(h.claim.State, &inRow)
	return true
}
