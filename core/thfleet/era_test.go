package thfleet_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// roleBesideReader returns the role of a VM beside one with a better rank, after that one has
// announced reads for four seconds in the era that it tells, if the VM itself knows era 5.
func roleBesideReader(t *testing.T, told uint64) thfleet.Role {
	t.Helper()
	var f *thfleet.Fleet
	var reader thfleet.Identity
	for i := 0; ; i++ { // until the second VM has the better rank
		f, reader = thfleet.New(identity(2*i)), identity(2*i+1)
		f.RecordPeer(at(0), reader)
		f.Receive(at(0), thfleet.Notice{From: thfleet.VMKeyOf(reader.ID), StartMillis: 1, Sequence: 1, Identity: &reader})
		if f.ZoneRank() == 1 {
			break
		}
	}
	f.NoteEra(at(0), 5)
	now := time.Duration(0)
	for sequence := uint32(2); now < 4*time.Second; sequence++ {
		now += thfleet.ReadInterval
		n := thfleet.Notice{From: thfleet.VMKeyOf(reader.ID), StartMillis: 1, Sequence: sequence, Identity: &reader}
		f.Receive(at(now), n.WithVersions(thfleet.StoreVersions{Table: 1, Targets: thtable.Position{Era: told, Version: uint64(sequence)}}))
	}
	return f.Role(at(now+100*time.Millisecond), thclock.Instant{})
}

// A VM of an older build reads the store and does not know that it has come back from an older
// copy. Its reads must not keep others from reading.
func TestReadsWithoutEraDoNotHoldBackTakeover(t *testing.T) {
	assert.Equal(t, roleBesideReader(t, 5), thfleet.Follower)
	assert.Equal(t, roleBesideReader(t, 6), thfleet.Follower)
	assert.Equal(t, roleBesideReader(t, 4), thfleet.Reader)
	assert.Equal(t, roleBesideReader(t, 0), thfleet.Reader)
}

func TestNewEraIsToldForAWhile(t *testing.T) {
	f := thfleet.New(identity(0))
	assert.Assert(t, f.NewEra(at(0)) == nil)
	f.NoteEra(at(0), 3)
	assert.Equal(t, *f.NewEra(at(10 * time.Second)), thfleet.EraAge{Era: 3, Millis: 10_000})
	assert.Assert(t, f.NewEra(at(time.Minute)) == nil)

	other, id := thfleet.New(identity(1)), identity(0)
	other.NoteEra(at(20*time.Second), 3) // it was cut off, and reads the store now
	n := thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: 1, Identity: &id, NewEra: f.NewEra(at(21 * time.Second))}
	other.Receive(at(21*time.Second), n)
	assert.Equal(t, other.NoteEra(at(22*time.Second), 3), at(0))
	assert.Equal(t, other.NoteEra(at(22*time.Second), 2), at(22*time.Second))
	assert.Equal(t, other.NoteEra(at(22*time.Second), 4), at(22*time.Second))
}

// A notice without an era, as older builds send it, has versions of era 0.
func TestVersionsInNotices(t *testing.T) {
	want := thfleet.StoreVersions{Table: 7, Targets: thtable.Position{Era: 2, Version: 9}}
	got, ok := thfleet.Notice{}.WithVersions(want).Versions()
	assert.Assert(t, ok)
	assert.Equal(t, got, want)
	n := thfleet.Notice{}.WithVersions(want)
	n.AnnouncedEra = 0
	got, _ = n.Versions()
	assert.Assert(t, want.IsNewerThan(got))
	_, ok = thfleet.Notice{}.Versions()
	assert.Assert(t, !ok)
}
