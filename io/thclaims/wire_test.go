package thclaims_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thclaims"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// TestGatheredOverTheWire sends each of many orders through all VMs, which
// gather their writes, while the homes go away one after the other and the
// store loses answers.
func TestGatheredOverTheWire(t *testing.T) {
	const vms, orders, rounds = 3, 150, 3
	s := newFakeStore(11)
	s.loseAnswers = 0.05
	// While the store takes its time, other writes come to wait with each other.
	s.before = func() bool {
		time.Sleep(2 * time.Millisecond)
		return true
	}
	up := &target{answer: "done"}
	var roster throster.Roster
	var listeners []net.Listener
	for i := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		roster = roster.WithVM(throster.VM{ID: fmt.Sprint("vm", i), PeerAddress: l.Addr().String()})
	}
	var all []*thclaims.Claims
	var servers []*thwire.Server
	for i, l := range listeners {
		self, _ := roster.VM(fmt.Sprint("vm", i))
		c := thclaims.New(thclaims.Options{
			Platform: s, Clock: thclock.System{}, Log: thevent.Discard{}, Self: self,
			Peers:  thclaims.NewPeers(thwire.NewClient(thwire.Identity{Credential: "c", From: self.ID})),
			Roster: func() throster.Roster { return roster },
		})
		w := &thwire.Server{Credential: "c"}
		c.Register(w)
		w.Start(l)
		all = append(all, c)
		servers = append(servers, w)
	}
	for round := range rounds {
		var wait sync.WaitGroup
		for k := range orders {
			for _, c := range all {
				wait.Go(func() {
					_, _ = c.Run(context.Background(), order(fmt.Sprint(round, "-", k), "crate"), up.next)
				})
			}
		}
		wait.Wait()
		_ = servers[round].Shutdown()
	}
	s.set(func(s *fakeStore) { s.loseAnswers = 0 })
	settle(t, all...)
	for round := range rounds {
		for k := range orders {
			assert.Equal(t, up.ran(fmt.Sprint(round, "-", k)), 1)
		}
	}
	taken := s.commits - s.conflicts
	assert.Assert(t, taken < s.writes, "nothing was gathered: %d commits for %d writes", taken, s.writes)
}
