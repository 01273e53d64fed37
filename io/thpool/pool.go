// Package thpool runs controllers on a pool of workers. A controller is a function
// that runs periodically: it reads this VM's view of targets, peers and limits,
// decides and writes its decisions back. It occupies no worker between its runs.
package thpool

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tamarackhollow/core/thevent"

	"github.com/panjf2000/ants/v2"
)

// Controller performs one run. Its context is cancelled when the pool is closed.
type Controller func(ctx context.Context)

// Pool runs controllers and single tasks until it is closed. Create it with New.
type Pool struct {
	workers *ants.Pool
	log     thevent.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
}

// New returns a pool with the given number of workers. A panic in a controller or
// task is logged as ControllerPanic and stops neither the worker nor later runs.
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

// Context returns the context that is cancelled when the pool is closed.
func (p *Pool) Context() context.Context { return p.ctx }

// Submit runs a task once on a worker. It blocks while all workers are busy, and
// fails if the pool is closed.
func (p *Pool) Submit(task func()) error { return p.workers.Submit(task) }

// RunEvery starts a goroutine that runs the controller at once, then at each
// interval and whenever wake receives, until the pool is closed. Runs never
// overlap: a wake-up during a run starts another one right after it.
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

// runOnce runs the controller on a worker and waits for its end. It returns false
// if the pool is closed.
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

// Close cancels the context, waits for the controllers to end and releases the
// workers.
func (p *Pool) Close() {
	p.cancel()
	p.loops.Wait()
	p.workers.Release()
}
