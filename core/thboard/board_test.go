package thboard_test

import (
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

func TestTogetherLocksInOrderOfRank(t *testing.T) {
	low := thboard.NewTable[int](thboard.RankConfig)
	high := thboard.NewTable[int](thboard.RankBurn)
	done := make(chan struct{}, 2)
	for _, ts := range [][]thboard.Lockable{{low, high}, {high, low}} {
		go func() {
			for range 1000 {
				thboard.Together(func() {
					n, _ := low.Row("a")
					low.SetRow("a", n+1)
					high.SetRow("a", n+1)
				}, ts...)
			}
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	n, _ := low.Get("a")
	assert.Equal(t, n, 2000)
	assert.Equal(t, high.Len(), 1)
}
