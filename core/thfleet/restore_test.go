package thfleet_test

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fail ends the test with what is wrong.
func (s *restoreSimulation) fail(format string, args ...any) {
	s.t.Helper()
	assert.Assert(s.t, false, "%s, at %v: %s", s.name, s.now-time.Hour, fmt.Sprintf(format, args...))
}

// check checks what must hold for VM i at any time, and what must if nothing was wrong with it or
// the store for inTouch.
func (s *restoreSimulation) check(i int) {
	vm := s.vms[i]
	if i == s.oldBuild {
		return
	}
	for p := range vm.used {
		if vm.knownGone[p] {
			s.fail("VM %d uses %v again", i, p)
		}
	}
	steady := max(vm.cutUntil, vm.startedAt, s.awayUntil)
	if s.now < steady+inTouch {
		return
	}
	// What was acknowledged before the store was stable counts from then on.
	overdue := s.now - s.bound
	if overdue < s.restoredAt+inTouch {
		overdue = 0
	}
	if s.store.tableAt < overdue && vm.table < s.store.table {
		s.fail("VM %d has table %d, %d was acknowledged at %v", i, vm.table, s.store.table, s.store.tableAt-time.Hour)
	}
	for p := range vm.used {
		if goneAt, gone := s.store.goneAt[p]; gone && goneAt < overdue {
			s.fail("VM %d uses %v, which was gone at %v", i, p, goneAt-time.Hour)
		}
	}
	for id, t := range s.targets {
		p := process{id, t.StartMillis}
		if listedAt, isListed := s.store.listedAt[p]; isListed && listedAt < overdue && !t.left && !t.Draining && !vm.used[p] {
			s.fail("VM %d does not use %v, which was listed at %v", i, p, listedAt-time.Hour)
		}
	}
}

// checkStillUsed checks that the VMs that run and were not cut off use what they used before, but for
// what has said that it leaves.
func (s *restoreSimulation) checkStillUsed(i int, before map[process]bool) {
	for p := range before {
		if t := s.targets[p.id]; t.StartMillis == p.start && !t.left && !t.Draining && !s.vms[i].used[p] {
			s.fail("VM %d has dropped %v, which works", i, p)
		}
	}
}

// checkConverged checks that all VMs hold what the store holds.
func (s *restoreSimulation) checkConverged() {
	s.quietFrom = s.now
	s.run(6 * time.Second)
	s.operatorWritesAt = never
	s.run(3 * time.Second)
	working := map[process]bool{}
	for id, t := range s.targets {
		if !t.left && !t.Draining {
			working[process{id, t.StartMillis}] = true
		}
	}
	for i, vm := range s.vms {
		if i == s.oldBuild {
			continue
		}
		assert.Equal(s.t, vm.table, s.store.table, "%s: VM %d", s.name, i)
		assert.Equal(s.t, vm.targets.List().Era, s.era, "%s: VM %d", s.name, i)
		assert.DeepEqual(s.t, vm.used, working)
	}
}

// TestNothingGoesBackInFleetBeforeRestoredStore guards against VMs that take an older copy at its
// word, or don't see what was written again.
func TestNothingGoesBackInFleetBeforeRestoredStore(t *testing.T) {
	seeds, err := strconv.Atoi(cmp.Or(os.Getenv("SEEDS"), "0"))
	assert.NilError(t, err)
	first, err := strconv.ParseUint(cmp.Or(os.Getenv("FIRST_SEED"), "0"), 10, 64)
	assert.NilError(t, err)
	drills := 1
	if seeds > 0 {
		drills = 2
	}
	for _, c := range []struct {
		vms, zones, seeds int
		bound             time.Duration
	}{{460, 5, 1, 3 * time.Second}, {110, 4, 9, 2500 * time.Millisecond}, {40, 3, 70, 2 * time.Second}, {32, 3, 120, 2 * time.Second}} {
		for seed := range uint64(max(c.seeds, seeds*c.seeds/200)) {
			t.Run(fmt.Sprintf("%d VMs, seed %d", c.vms, first+seed), func(t *testing.T) {
				t.Parallel()
				s := newRestoreSimulation(t, first+seed, c.vms, c.zones, c.bound)
				if (first+seed)%8 == 7 {
					s.oldBuild = s.rng.IntN(c.vms)
				}
				s.run(6 * time.Second)
				for range drills {
					s.drill()
				}
				s.checkConverged()
			})
		}
	}
}
