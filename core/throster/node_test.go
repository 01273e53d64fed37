package throster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// fleet is a roster whose nodes talk without delay or loss.
type fleet struct {
	nodes  map[string]*throster.Node
	roster throster.Roster
	now    time.Duration
}

func newFleet(ids ...string) *fleet {
	f := &fleet{nodes: map[string]*throster.Node{}, now: time.Hour}
	var vms []throster.VM
	for _, id := range ids {
		vms = append(vms, throster.VM{ID: id, Incarnation: 1})
	}
	f.roster = throster.NewRoster(1, vms)
	for _, id := range ids {
		f.restart(id, 1)
	}
	return f
}

// restart makes the VM forget all but the roster.
func (f *fleet) restart(id string, incarnation uint64) {
	f.nodes[id] = throster.NewNode(throster.VM{ID: id, Incarnation: incarnation})
	f.nodes[id].Advance(1, f.roster)
}

// ask lets a VM ask others, one after the other, and catch up with them.
func (f *fleet) ask(id string, others ...string) {
	n := f.nodes[id]
	for _, o := range others {
		f.now += time.Millisecond
		sent := thclock.At(f.now)
		a := f.nodes[o].Answer(thclock.At(f.now+time.Millisecond), n.Ask())
		n.Advance(a.Version, f.roster)
		n.Answered(sent, a)
	}
}

func (f *fleet) fresh(id string) bool {
	return !thclock.At(f.now).Passed(f.nodes[id].Deadline())
}

func TestAcknowledgementOfARestartedVMIsVoid(t *testing.T) {
	f := newFleet("a", "b", "c", "d", "e")
	f.nodes["a"].Advance(2, f.roster)
	f.ask("b", "a")
	f.ask("a", "b")
	assert.Equal(t, f.nodes["a"].Tally(2).Acknowledged, 2)
	f.restart("b", 2)
	f.ask("b", "c", "d", "e")
	assert.Assert(t, f.nodes["b"].Voter())
	f.ask("c", "a")
	f.ask("a", "c")
	// b has forgotten version 2, and d can be fresh without it.
	f.ask("d", "b", "e")
	assert.Assert(t, f.fresh("d"))
	assert.Equal(t, f.nodes["d"].Version(), uint64(1))
	tally := f.nodes["a"].Tally(2)
	assert.Assert(t, !tally.Accepted, "%+v", tally)
}

func TestHearsayOfARestartedVMIsVoid(t *testing.T) {
	f := newFleet("a", "b", "c", "d", "e")
	f.nodes["a"].Advance(2, f.roster)
	f.ask("b", "a")
	f.ask("a", "b")
	f.restart("b", 2)
	f.ask("b", "c", "d", "e")
	f.ask("c", "a")
	// c knows of b's restart and a does not: what a says of b is of the old one.
	for _, k := range f.nodes["c"].Knowledge(thclock.At(f.now)) {
		if k.ID == "b" {
			assert.Equal(t, k.Incarnation, uint64(2))
			assert.Assert(t, k.Version < 2, "%+v", k)
		}
	}
}

func TestRestartedVMCountsAfterAMajorityOfTheOthers(t *testing.T) {
	f := newFleet("a", "b", "c", "d", "e")
	f.restart("b", 2)
	f.ask("b", "a", "c")
	assert.Assert(t, !f.nodes["b"].Voter())
	f.ask("b", "c")
	assert.Assert(t, !f.nodes["b"].Voter())
	f.ask("b", "d")
	assert.Assert(t, f.nodes["b"].Voter())
}

func TestRestartedVMIsAskedAtItsNewAddress(t *testing.T) {
	f := newFleet("a", "b", "c")
	moved := throster.NewNode(throster.VM{ID: "b", Incarnation: 2, PeerAddress: "127.0.0.9:1"})
	moved.Advance(1, f.roster)
	f.nodes["b"] = moved
	f.ask("b", "a")
	f.ask("c", "a")
	f.nodes["c"].Advance(2, f.roster)
	for _, v := range f.nodes["c"].Lacking(2) {
		if v.ID == "b" {
			assert.Equal(t, v.PeerAddress, "127.0.0.9:1")
		}
	}
}

func TestMinorityIsNotFresh(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	f.ask("a", "b")
	assert.Assert(t, !f.fresh("a"))
	f.ask("a", "c")
	assert.Assert(t, f.fresh("a"))
	f.now += throster.FreshFor
	f.ask("a", "b")
	assert.Assert(t, !f.fresh("a"))
}

func TestHeadOtherThanTheVersionProvesNothing(t *testing.T) {
	f := newFleet("a")
	n := f.nodes["a"]
	at := thclock.At(f.now)
	assert.Assert(t, !n.HeadRead(at, 1, 2), "a newer head")
	assert.Assert(t, !n.HeadRead(at, 1, 0), "an older head")
	assert.Equal(t, n.AsOf(), thclock.Instant{})
	assert.Assert(t, n.HeadRead(at, 1, 1))
}

func TestEitherClockEndsFreshness(t *testing.T) {
	f := newFleet("a")
	at := thclock.At(f.now)
	f.nodes["a"].HeadRead(at, 1, 1)
	deadline := f.nodes["a"].Deadline()
	suspended := thclock.Instant{Mono: at.Mono, Wall: at.Wall + throster.FreshFor}
	stepped := thclock.Instant{Mono: at.Mono + throster.FreshFor, Wall: at.Wall - time.Hour}
	assert.Assert(t, suspended.Passed(deadline))
	assert.Assert(t, stepped.Passed(deadline))
	assert.Assert(t, !at.Passed(deadline))
}

// TestOldHearsayStaysOldThroughASuspension has a VM hand on what it heard
// before its monotonic clock stood still.
func TestOldHearsayStaysOldThroughASuspension(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.ask("b", "c")
	woken := thclock.Instant{Mono: f.now, Wall: f.now + time.Hour}
	a := f.nodes["b"].Answer(woken, f.nodes["a"].Ask())
	assert.Assert(t, time.Duration(a.AsOfMillis)*time.Millisecond >= time.Hour)
	f.nodes["a"].Answered(woken, a)
	assert.Assert(t, woken.Passed(f.nodes["a"].Deadline()) == false, "b itself and a are a majority")
	f.now = woken.Mono
	for _, k := range f.nodes["a"].Knowledge(woken) {
		assert.Assert(t, k.ID != "c" || k.HeardMillis == -1, "%+v", k)
	}
}
