package thburns

import (
	"context"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"

	"golang.org/x/sync/errgroup"
)

// load fetches what earlier homes stored of the parts that are new here. It
// gives up when the store does not answer for a part.
func (b *Burns) load(ctx context.Context, now thclock.Instant) {
	alone := b.o.Roster().Len() <= 1
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelLoads)
	for i, p := range b.ownParts() {
		p.mu.Lock()
		due := !p.loaded && (alone || now.Passed(p.since.Add(handOverWait)))
		p.mu.Unlock()
		if !due {
			continue
		}
		g.Go(func() error {
			if !b.loadPart(ctx, now, i, p) {
				return errNotLoaded
			}
			return nil
		})
	}
	_ = g.Wait() // what is not loaded is tried again at the next tick
}

// parallelLoads bounds the objects under way at once.
const parallelLoads = 4

var errNotLoaded = therror.New(therror.StoreUnavailable, "a part's object could not be read")

func (b *Burns) loadPart(ctx context.Context, now thclock.Instant, i int, p *part) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	data, err := b.o.Platform.GetObject(ctx, thburn.PartName(i))
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.loaded:
		// The earlier home has handed it over meanwhile.
	case err == nil:
		// A damaged object is given up: the counts go on without it.
		_ = p.ledger.Absorb(now, data, true)
		p.loaded = true
	case therror.Is(err, therror.NotFound):
		p.loaded = true
	case now.SurelyPassed(p.since.Add(loadPatience)):
		p.loaded = true
	}
	return p.loaded
}

// store writes the parts that are due, or all. It gives up at the first part
// that the store does not take.
func (b *Burns) store(ctx context.Context, now thclock.Instant, all bool) error {
	for i, p := range b.ownParts() {
		if err := b.storePart(ctx, now, i, p, all); err != nil {
			return err
		}
	}
	return nil
}

func (b *Burns) storePart(ctx context.Context, now thclock.Instant, i int, p *part, always bool) error {
	s, due, err := p.snapshot(now, always)
	if err != nil || !due {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := b.o.Platform.PutObject(ctx, thburn.PartName(i), s.Data); err != nil {
		return err
	}
	p.mu.Lock()
	p.ledger.Stored(s)
	p.mu.Unlock()
	b.mu.Lock()
	b.stats.Stored++
	b.stats.StoredBytes += uint64(len(s.Data))
	b.mu.Unlock()
	return nil
}

// snapshot returns what is to be stored, and false if nothing is.
func (p *part) snapshot(now thclock.Instant, always bool) (thburn.Snapshot, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || p.ledger.Len() == 0 || !always && !now.Passed(p.nextStore) {
		return thburn.Snapshot{}, false, nil
	}
	p.nextStore = now.Add(storeEvery)
	s, err := p.ledger.Snapshot()
	return s, err == nil, err
}
