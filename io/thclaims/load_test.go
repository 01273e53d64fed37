package thclaims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thclaims"

	"gotest.tools/v3/assert"
)

// busyStore lets a fakeStore commit no more often than every spacing, each
// commit taking some time, and refuses when too many wait.
type busyStore struct {
	mu   sync.Mutex
	next time.Time
}

const (
	storeSpacing = 2500 * time.Microsecond
	storeLatency = 5 * time.Millisecond
	storeBacklog = time.Second
	peerLatency  = 2 * time.Millisecond
)

// wait waits for a commit's turn, and reports false if too many wait already.
func (b *busyStore) wait() bool {
	b.mu.Lock()
	now := time.Now()
	at := later(b.next, now).Add(storeSpacing)
	refuse := at.Sub(now) > storeBacklog
	if !refuse {
		b.next = at
	}
	b.mu.Unlock()
	if refuse {
		time.Sleep(storeLatency)
		return false
	}
	time.Sleep(at.Sub(now) + storeLatency)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fleetPeers calls the other VMs of one process.
type fleetPeers struct {
	vms  map[string]*thclaims.Claims
	dead string
}

func (p *fleetPeers) Write(ctx context.Context, v throster.VM, rows thclaims.Rows) (thclaims.Outcomes, error) {
	if v.ID == p.dead {
		<-ctx.Done()
		return thclaims.Outcomes{}, therror.Wrap(therror.AnswerLost, ctx.Err(), "")
	}
	time.Sleep(peerLatency)
	return p.vms[v.ID].Receive(rows), nil
}

// bubbleClock counts from before the beginning of a synctest bubble's time.
type bubbleClock struct{}

var bubbleOrigin = time.Date(1999, 12, 31, 0, 0, 0, 0, time.UTC)

func (bubbleClock) Now() thclock.Instant { return thclock.At(time.Since(bubbleOrigin)) }

func bubbleOrder(i int) *threquest.Request {
	q := order(fmt.Sprint(i), "crate")
	q.Deadline = bubbleClock{}.Now().Add(10 * time.Second)
	return q
}

type load struct {
	name   string
	vms    int
	orders int
	// alone has every write commit by itself.
	alone  bool
	gather bool
	dead   string
	// copies is how many VMs each order is sent through at once.
	copies int
}

type loadResult struct {
	done, running, refused, other int
	commits, rows, reads          int
	p50, p99                      time.Duration
}

const loadSeconds = 3

// run sends the orders evenly over the VMs in the bubble's time.
func (l load) run(t *testing.T) loadResult {
	t.Helper()
	var r loadResult
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		busy := &busyStore{}
		s.before = busy.wait
		peers := &fleetPeers{vms: map[string]*thclaims.Claims{}, dead: l.dead}
		var roster throster.Roster
		for i := range l.vms {
			roster = roster.WithVM(throster.VM{ID: fmt.Sprint("vm", i)})
		}
		options := func(id string) thclaims.Options {
			o := thclaims.Options{Platform: s, Clock: bubbleClock{}, Log: thevent.Discard{}, Self: throster.VM{ID: id}}
			if l.gather {
				o.Peers = peers
				o.Roster = func() throster.Roster { return roster }
			}
			return o
		}
		for _, v := range roster.VMs() {
			peers.vms[v.ID] = thclaims.New(options(v.ID))
		}
		random := rand.New(rand.NewPCG(5, 6))
		var mu sync.Mutex
		var wait sync.WaitGroup
		var took []time.Duration
		for i := range l.orders * loadSeconds {
			c := peers.vms[fmt.Sprint("vm", random.IntN(l.vms))]
			if l.alone {
				c = thclaims.New(options("vm0"))
				peers.vms[fmt.Sprint("alone", i)] = c
			}
			one := func(c *thclaims.Claims) {
				began := time.Now()
				_, err := c.Run(context.Background(), bubbleOrder(i), func(context.Context, *threquest.Request) (*threquest.Answer, error) {
					return &threquest.Answer{Status: 201}, nil
				})
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Since(began))
				switch {
				case err == nil:
					r.done++
				case therror.Is(err, therror.ClaimRunning):
					r.running++
				case therror.Is(err, therror.ClaimUnavailable):
					r.refused++
				default:
					r.other++
				}
			}
			wait.Go(func() { one(c) })
			for range l.copies - 1 {
				other := peers.vms[fmt.Sprint("vm", random.IntN(l.vms))]
				wait.Go(func() { one(other) })
			}
			time.Sleep(time.Second / time.Duration(l.orders))
		}
		wait.Wait()
		for _, c := range peers.vms {
			assert.NilError(t, c.Leave(context.Background()))
		}
		synctest.Wait()
		slices.Sort(took)
		r.p50, r.p99 = took[len(took)/2], took[len(took)*99/100]
		r.commits, r.rows, r.reads = s.commits, s.writes, s.reads
	})
	return r
}

// TestClaimsUnderLoad compares the ways to write claims to a store that takes
// 400 transactions a second. Gathered, all orders have to be taken at a rate
// at which claims alone would be twice what the store takes.
func TestClaimsUnderLoad(t *testing.T) {
	for _, l := range []load{
		{name: "each write alone", vms: 40, orders: 50, alone: true},
		{name: "grouped on each VM", vms: 40, orders: 50},
		{name: "gathered", vms: 40, orders: 50, gather: true},
		{name: "each write alone", vms: 40, orders: 400, alone: true},
		{name: "grouped on each VM", vms: 40, orders: 400},
		{name: "gathered", vms: 40, orders: 400, gather: true},
		{name: "gathered", vms: 460, orders: 1500, gather: true},
		{name: "gathered, sent 3 times", vms: 40, orders: 400, gather: true, copies: 3},
		{name: "gathered, one home silent", vms: 40, orders: 400, gather: true, dead: homeOf(40)},
	} {
		r := l.run(t)
		total := l.orders * loadSeconds
		t.Logf("%-28s %3d VMs %4d orders/s: %4d taken, %4d running, %4d refused, %d other; %.2f transactions an order, %.0f/s, %.0f reads/s; p50 %v p99 %v", l.name, l.vms, l.orders, r.done, r.running, r.refused, r.other, float64(r.commits)/float64(total), float64(r.commits)/loadSeconds, float64(r.reads)/loadSeconds, r.p50, r.p99)
		if l.gather {
			assert.Equal(t, r.done+r.running, total*max(1, l.copies))
			assert.Assert(t, r.done >= total)
		}
	}
}

func homeOf(vms int) string {
	var roster throster.Roster
	for i := range vms {
		roster = roster.WithVM(throster.VM{ID: fmt.Sprint("vm", i)})
	}
	home, _ := roster.Home("claims/0")
	return home.ID
}
