// Package thpool runs controllers on a pool of workers. A controller is a
// function that reads the blackboard, decides and writes back; it holds no
// worker between its runs.
package thpool

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tamarackhollow/core/thevent"

	"github.com/panjf2000/ants/v2"
)

// Controller is one run of a controller. The context ends with the pool.
type Controller func(ctx context.Context)

// Pool runs controllers until it is closed. Make one with New.
type Pool struct {
	workers *ants.Pool
	log     thevent.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
}

// New returns a pool of the given number of workers.
func New(workers int, log thevent.Logger) (*Pool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{log: log, ctx: ctx, cancel: cancel}
	w, err := ants.NewPool(workers, ants.WithPanicHandler(p.logPanic))
	if err != nil {
		cancel()
		return nil, err
	}
	p.workers = w
	return p, nil
}

func (p *Pool) logPanic(v any) {
	p.log.Log(thevent.ControllerPanic, thevent.F("panic", fmt.Sprint(v)))
}

// Context ends when the pool is closed.
func (p *Pool) Context() context.Context { return p.ctx }

// Submit runs a task once; it waits while all workers are busy.
func (p *Pool) Submit(task func()) error { return p.workers.Submit(task) }

// RunEvery runs the controller at once and then each interval, never twice at the
// same time; a wake-up during a run is kept for right after it.
func (p *Pool) RunEvery(interval time.Duration, wake <-chan struct{}, c Controller) {
	p.loops.Add(1)
	go p.runLoop(interval, wake, c)
}

func (p *Pool) runLoop(interval time.Duration, wake <-chan struct{}, c Controller) {
	defer p.loops.Done()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if !p.runOnce(c) {
			return
		}
		select {
		case <-p.ctx.Done():
			return
		case <-wake:
		case <-t.C:
		}
	}
}

func (p *Pool) runOnce(c Controller) bool {
	done := make(chan struct{})
	err := p.workers.Submit(func() {
		defer close(done)
		c(p.ctx)
	})
	if err != nil {
		return false
	}
	<-done
	return p.ctx.Err() == nil
}

// Close ends the context and waits for the controllers.
func (p *Pool) Close() {
	p.cancel()
	p.loops.Wait()
	p.workers.Release()
}
