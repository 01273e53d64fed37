package thfleet

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// StoreReads holds when the routing table and the list of targets were last read from the
// store, by whatever VM; the zero Instant if they were not.
type StoreReads struct{ Table, Targets thclock.Instant }

// Complete returns the earlier of both times, which is how recent what is known of the store
// is as a whole.
func (r StoreReads) Complete() thclock.Instant {
	if r.Table.Before(r.Targets) {
		return r.Table
	}
	return r.Targets
}

// Max returns the later read of each.
func (r StoreReads) Max(o StoreReads) StoreReads {
	return StoreReads{Table: r.Table.Max(o.Table), Targets: r.Targets.Max(o.Targets)}
}

// Ages returns how long ago the reads were.
func (r StoreReads) Ages(now thclock.Instant) ReadAges {
	age := func(at thclock.Instant) time.Duration {
		if at == (thclock.Instant{}) {
			return math.MaxInt64
		}
		return now.Sub(at)
	}
	return NewReadAges(age(r.Table), age(r.Targets))
}

// ReadAges holds how long ago the routing table and the list of targets were read from the
// store, in milliseconds. UnknownReadAge stands for that time, a longer one, or never.
type ReadAges struct {
	_       struct{} `cbor:",toarray"`
	Table   uint16
	Targets uint16
}

// UnknownReadAge is the greatest age in ReadAges.
const UnknownReadAge = math.MaxUint16

// NewReadAges returns the ages in milliseconds.
func NewReadAges(table, targets time.Duration) ReadAges {
	millis := func(d time.Duration) uint16 { return uint16(max(0, min(d.Milliseconds(), UnknownReadAge))) }
	return ReadAges{Table: millis(table), Targets: millis(targets)}
}

// Reads returns when the reads were.
func (a ReadAges) Reads(now thclock.Instant) StoreReads {
	at := func(millis uint16) thclock.Instant {
		if millis == UnknownReadAge {
			return thclock.Instant{}
		}
		return now.Add(-time.Duration(millis) * time.Millisecond)
	}
	return StoreReads{Table: at(a.Table), Targets: at(a.Targets)}
}

// LastReads returns when the store was last read, as far as other VMs have reported, for
// content that is no newer than the given versions. A VM that has those versions holds what
// was read then. The orders are read with the table.
func (f *Fleet) LastReads(have StoreVersions) StoreReads {
	var last StoreReads
	for _, p := range f.peers {
		reads := f.readsOf(p)
		if p.storeVersions.Table <= have.Table && !p.storeVersions.Orders.IsAfter(have.Orders) {
			last.Table = last.Table.Max(reads.Table)
		}
		if !p.storeVersions.Targets.IsAfter(have.Targets) {
			last.Targets = last.Targets.Max(reads.Targets)
		}
	}
	return last
}

// readsOf returns when the store was read for the versions that a VM has announced. A read in an
// earlier era, or by a VM of an older build, which does not know the era, says nothing of the
// store as it has been since this VM heard of the current one.
func (f *Fleet) readsOf(p *Peer) StoreReads {
	if p.storeVersions.Targets.Era >= f.era {
		return p.reads
	}
	return StoreReads{Table: p.reads.Table.Min(f.eraSince), Targets: p.reads.Targets.Min(f.eraSince)}
}

// NoteEra records that the store is in an era, as it has told this VM or another one at the given
// time, and returns the time since which any VM is known to have seen it.
func (f *Fleet) NoteEra(seenAt thclock.Instant, era uint64) thclock.Instant {
	switch {
	case era > f.era:
		f.era, f.eraSince = era, seenAt
	case era < f.era:
		return seenAt
	}
	f.eraSince = f.eraSince.Min(seenAt)
	return f.eraSince
}

// maxEraAge is the age from which an era is no longer told to be new.
const maxEraAge = time.Minute

// NewEra returns the store's era for notices if it is new, else nil.
func (f *Fleet) NewEra(now thclock.Instant) *EraAge {
	age := now.Sub(f.eraSince)
	if f.era == 0 || age >= maxEraAge {
		return nil
	}
	return &EraAge{Era: f.era, Millis: uint16(max(0, age.Milliseconds()))}
}

// RecordAnnouncement records that this VM announces versions, and when the store was read
// for them by it or by the VM that it follows.
func (f *Fleet) RecordAnnouncement(now thclock.Instant, versions StoreVersions, reads StoreReads) {
	f.NoteEra(now, max(versions.Targets.Era, versions.Orders.Era))
	f.announced, f.announcedReads = versions, reads
}

// relayStep is how much later a read must be than the one that was last announced to be
// announced as well. A relayed read seems later by the time of its way, so that without this
// step two leaders of a zone would relay one read to each other forever.
const relayStep = 200 * time.Millisecond

// IsRelayDue reports whether this VM, in its role and with the given versions, has to tell
// its zone more than it has announced: newer versions or, if it leads the zone, a later read
// of the store by another VM. A deputy announces versions that no VM with a better rank has
// announced in the zone.
func (f *Fleet) IsRelayDue(now thclock.Instant, role Role, have StoreVersions) bool {
	if role != Follower {
		return have.IsNewerThan(f.announced) || f.LastReads(have).Complete().Sub(f.announcedReads.Complete()) >= relayStep
	}
	rank := f.ZoneRank()
	if rank > deputies || !have.IsNewerThan(f.announced) {
		return false
	}
	heardElsewhere := false
	ownHash := rankHash(f.self.ID)
	for _, p := range f.peers {
		switch {
		case p.Identity.Zone != f.self.Zone:
			heardElsewhere = heardElsewhere || p.storeVersions.IsNewerThan(f.announced) && now.Sub(p.versionsAt) >= time.Duration(rank)*deputyDelay
		case rankHash(p.Identity.ID) < ownHash && !have.IsNewerThan(p.storeVersions):
			return false
		}
	}
	return heardElsewhere
}
