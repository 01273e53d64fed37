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

// events passes on the number of each event.
type events chan thevent.ID

func (e events) Log(id thevent.ID, _ ...thevent.Field) { e <- id }

func TestPanicIsLoggedAndTheControllerGoesOn(t *testing.T) {
	log := make(events, 16)
	p, err := thpool.New(2, log)
	assert.NilError(t, err)
	var runs atomic.Int64
	again := make(chan struct{})
	p.RunEvery(time.Millisecond, nil, func(context.Context) {
		if runs.Add(1) == 1 {
			panic("fault")
		}
		if runs.Load() == 2 {
			close(again)
		}
	})
	<-again
	assert.Equal(t, <-log, thevent.ControllerPanic)
	p.Close()
}

func TestWakeRunsAtOnceAndCloseEnds(t *testing.T) {
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
