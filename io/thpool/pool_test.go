package thpool_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/io/thpool"

	"gotest.tools/v3/assert"
)

// eventChannel is a logger that sends the number of each event to the channel.
type eventChannel chan thevent.ID

func (e eventChannel) Log(id thevent.ID, _ ...thevent.Field) { e <- id }

// TestControllerRunsAgainAfterPanic guards against a controller that stops for good
// after a panic, and against a panic that is not logged.
func TestControllerRunsAgainAfterPanic(t *testing.T) {
	log := make(eventChannel, 16)
	p, err := thpool.New(2, log)
	assert.NilError(t, err)
	var runs atomic.Int64
	secondRun := make(chan struct{})
	p.RunEvery(time.Millisecond, nil, func(context.Context) {
		if runs.Add(1) == 1 {
			panic("fault")
		}
		if runs.Load() == 2 {
			close(secondRun)
		}
	})
	<-secondRun
	assert.Equal(t, <-log, thevent.ControllerPanic)
	p.Close()
}

// TestWakeRunsControllerAndCloseEndsContext guards against a wake-up that waits for
// the next interval, here an hour, and against a context that outlives the pool.
func TestWakeRunsControllerAndCloseEndsContext(t *testing.T) {
	p, err := thpool.New(2, thevent.Discard{})
	assert.NilError(t, err)
	ran := make(chan struct{}, 16)
	wake := make(chan struct{}, 1)
	p.RunEvery(time.Hour, wake, func(context.Context) { ran <- struct{}{} })
	<-ran
	wake <- struct{}{}
	<-ran
	p.Close()
	assert.Assert(t, p.Context().Err() != nil)
}
