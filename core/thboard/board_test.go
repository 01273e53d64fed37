package thboard_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thboard"
)

func TestCellZeroValueWorks(t *testing.T) {
	var c thboard.Cell[int]
	assert.Equal(t, c.Load(), 0)
	changed := c.Changed()
	c.Store(7)
	<-changed
	assert.Equal(t, c.Load(), 7)
	kept := c.Update(func(int) (int, bool) { return 9, false })
	assert.Assert(t, !kept)
	assert.Equal(t, c.Load(), 7)
}

// TestCellReadersSeeEachUpdateOnce has writers count in one cell while a reader
// follows the changes.
func TestCellReadersSeeEachUpdateOnce(t *testing.T) {
	const writers, updates = 4, 500
	var c thboard.Cell[int]
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for range updates {
				c.Update(func(n int) (int, bool) { return n + 1, true })
			}
		})
	}
	for last := 0; last < writers*updates; {
		changed := c.Changed()
		n := c.Load()
		assert.Assert(t, n >= last, "%d after %d", n, last)
		if last = n; n < writers*updates {
			<-changed
		}
	}
	all.Wait()
}
