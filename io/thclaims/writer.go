package thclaims

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thstore"
)

const (
	maxBatch      = 64
	maxBatchBytes = 256 << 10
	storeTimeout  = 2 * time.Second
)

// operation is one write of one row that stands at a version.
type operation struct {
	key     string
	version uint64
	value   []byte
	// until is when the operation is given up if it is still waiting.
	until thclock.Instant
	// done gets the outcome; lead is closed if the waiter is to commit the
	// next batch, which begins with its own operation.
	done chan error
	lead chan struct{}
}

// writer gathers independent writes into one transaction each time the store
// is free. One write that fails its condition does not fail the others.
//
// There is no goroutine of its own: a waiter commits for those that wait with
// it and then hands over to the first that came meanwhile.
type writer struct {
	// commit writes a batch and tells each of its operations the outcome.
	commit func(batch []*operation)
	clock  thclock.Clock
	mu     sync.Mutex
	queue  []*operation
	busy   bool
}

// write commits the row, which has to stand at the version. It fails as
// thstore.Platform.Commit does, and with StoreUnavailable if its turn has not
// come when the instant has passed.
func (w *writer) write(key string, version uint64, value []byte, until thclock.Instant) error {
	o := &operation{key: key, version: version, value: value, until: until, done: make(chan error, 1), lead: make(chan struct{})}
	w.mu.Lock()
	w.queue = append(w.queue, o)
	if !w.busy {
		w.busy = true
		close(o.lead)
	}
	w.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	case <-o.lead:
	}
	if batch := w.nextBatch(); len(batch) > 0 {
		w.commit(batch)
	}
	w.handOver()
	return <-o.done
}

// nextBatch takes operations on different rows off the queue.
func (w *writer) nextBatch() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	var batch, rest []*operation
	taken := make(map[string]bool)
	size := 0
	for _, o := range w.queue {
		if now.Passed(o.until) {
			o.done <- therror.New(therror.StoreUnavailable, "too many writes wait for the store")
			continue
		}
		full := len(batch) == maxBatch || len(batch) > 0 && size+len(o.value) > maxBatchBytes
		if full || taken[o.key] {
			rest = append(rest, o)
			continue
		}
		taken[o.key] = true
		size += len(o.value)
		batch = append(batch, o)
	}
	w.queue = rest
	return batch
}

func (w *writer) handOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.busy = false
		return
	}
	close(w.queue[0].lead)
}

// storeCommitter commits batches to the store.
type storeCommitter struct {
	platform thstore.Platform
	clock    thclock.Clock
	recent   recent
}

func (c *storeCommitter) commit(batch []*operation) {
	batch = c.current(batch)
	for len(batch) > 0 {
		err := c.transact(batch)
		if len(batch) > 1 && therror.Is(err, therror.ChangeConflict) {
			batch = c.split(batch)
			continue
		}
		for _, o := range batch {
			o.done <- err
		}
		return
	}
}

// current fails the operations whose rows are known to have changed, and
// returns the others.
func (c *storeCommitter) current(batch []*operation) []*operation {
	var good []*operation
	for _, o := range batch {
		if row, ok := c.recent.newer(c.clock.Now(), o); ok {
			o.done <- newConflict(row)
			continue
		}
		good = append(good, o)
	}
	return good
}

func (c *storeCommitter) transact(batch []*operation) error {
	t := thstore.Transaction{
		Conditions: make([]thstore.Condition, len(batch)),
		Writes:     make([]thstore.Write, len(batch)),
	}
	for i, o := range batch {
		t.Conditions[i] = thstore.Condition{Key: o.key, Version: o.version}
		t.Writes[i] = thstore.Write{Key: o.key, Value: o.value}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := c.platform.Commit(ctx, t)
	if err != nil {
		c.recent.forget(batch)
		return err
	}
	c.recent.add(c.clock.Now(), batch)
	return nil
}

// split reads the rows of a batch that conflicted, fails the operations whose
// rows stand elsewhere and returns the others. If it finds none to fail, it
// commits each alone.
func (c *storeCommitter) split(batch []*operation) []*operation {
	rows := make([]thstore.Row, len(batch))
	var wait sync.WaitGroup
	for i, o := range batch {
		wait.Go(func() { rows[i] = c.read(o) })
	}
	wait.Wait()
	var good []*operation
	for i, o := range batch {
		if rows[i].Version != o.version {
			o.done <- newConflict(rows[i])
			continue
		}
		good = append(good, o)
	}
	if len(good) < len(batch) {
		return good
	}
	for _, o := range good {
		o.done <- c.transact([]*operation{o})
	}
	return nil
}

// read returns the operation's row; if it cannot be read, as the operation
// takes it to stand.
func (c *storeCommitter) read(o *operation) thstore.Row {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r, err := c.platform.ReadRow(ctx, o.key)
	if err != nil {
		return thstore.Row{Key: o.key, Version: o.version}
	}
	r.Key = o.key
	return r
}
