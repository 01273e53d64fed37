package thfleet_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"

	"gotest.tools/v3/assert"
)

// readers is a fleet over three zones whose VMs read, relay and follow.
type readers struct {
	ids    []thfleet.Identity
	fleets []*thfleet.Fleet
	dead   []bool
	// cut is a zone that no notice enters or leaves; empty for none.
	cut string
	// refused are VMs that the store turns away.
	refused map[int]bool
	// current is when each VM last read or heard of a reading.
	current []time.Duration
	number  uint32
	now     time.Duration
	// reading are the VMs that read in the last second.
	reading map[int]bool
}

func newReaders() *readers {
	r := &readers{reading: map[int]bool{}, refused: map[int]bool{}}
	for i := range 9 {
		id := thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Address: fmt.Sprintf("10.0.0.%d:1", i+1)}
		r.ids = append(r.ids, id)
		r.fleets = append(r.fleets, thfleet.New(id))
	}
	r.dead, r.current = make([]bool, len(r.ids)), make([]time.Duration, len(r.ids))
	return r
}

func (r *readers) reaches(i, j int) bool {
	from, to := r.ids[i].Zone, r.ids[j].Zone
	return i != j && !r.dead[j] && (from == to || from != r.cut && to != r.cut)
}

// send passes a notice of one VM to others.
func (r *readers) send(i int, reading bool, to func(j int) bool) {
	r.number++
	n := thfleet.Notice{From: thfleet.VMKeyOf(r.ids[i].ID), StartMillis: 1, Sequence: r.number, Identity: &r.ids[i]}
	if reading {
		n.StoreVersions = &thfleet.StoreVersions{Table: 1, Targets: 1}
	}
	for j := range r.fleets {
		if !r.reaches(i, j) || !to(j) {
			continue
		}
		r.fleets[j].Receive(at(r.now), n)
		if reading {
			r.current[j] = r.now
		}
	}
}

// step lets a tenth of a second pass.
func (r *readers) step() {
	for i, f := range r.fleets {
		if r.dead[i] {
			continue
		}
		if r.now%time.Second == 0 {
			r.send(i, false, func(int) bool { return true })
		}
		inZone := func(j int) bool { return r.ids[j].Zone == r.ids[i].Zone }
		duty := f.Role(at(r.now))
		switch {
		case duty == thfleet.Reader && !r.refused[i]:
			if r.now%thfleet.ReadInterval != 0 {
				break
			}
			r.reading[i], r.current[i] = true, r.now
			r.send(i, true, func(j int) bool { return inZone(j) || r.leads(f, j) })
		case duty == thfleet.Relayer, duty == thfleet.Reader && f.HasRecentReadInOtherZone(at(r.now)):
			r.send(i, true, inZone)
		}
	}
	r.now += 100 * time.Millisecond
}

func (r *readers) leads(f *thfleet.Fleet, j int) bool {
	for _, p := range f.OtherZoneLeaders(at(r.now)) {
		if p.Identity.ID == r.ids[j].ID {
			return true
		}
	}
	return false
}

// run lets time pass, and returns how long a VM was without news at the most.
func (r *readers) run(span time.Duration) time.Duration {
	var longest time.Duration
	for until := r.now + span; r.now < until; {
		if r.now%time.Second == 0 {
			clear(r.reading)
		}
		r.step()
		for i := range r.fleets {
			if !r.dead[i] {
				longest = max(longest, r.now-r.current[i])
			}
		}
	}
	return longest
}

// drain is the two seconds after which a target that leaves gets no request.
const drain = 2 * time.Second

func TestOneVMReadsForAllZones(t *testing.T) {
	r := newReaders()
	r.run(5 * time.Second)
	for range 5 {
		assert.Assert(t, r.run(900*time.Millisecond) < drain)
		assert.Equal(t, len(r.reading), 1, "%v", r.reading)
		for i := range r.reading {
			r.dead[i] = true
		}
		assert.Assert(t, r.run(5100*time.Millisecond) < drain)
	}
}

func TestAZoneThatIsCutOffReadsForItself(t *testing.T) {
	r := newReaders()
	r.run(5 * time.Second)
	r.cut = "zone-1"
	assert.Assert(t, r.run(5*time.Second) < drain)
	assert.Equal(t, len(r.reading), 2, "%v", r.reading)
	r.cut = ""
	assert.Assert(t, r.run(4*time.Second) < drain)
	assert.Equal(t, len(r.reading), 1, "%v", r.reading)
}

func TestAReaderThatTheStoreTurnsAwayIsReplaced(t *testing.T) {
	r := newReaders()
	r.run(5 * time.Second)
	for i := range r.reading {
		r.refused[i] = true
	}
	assert.Assert(t, r.run(5*time.Second) < drain)
	assert.Equal(t, len(r.reading), 1, "%v", r.reading)
}
