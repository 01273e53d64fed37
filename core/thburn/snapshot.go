package thburn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

// snapshotSlot is a slot of a ring that holds something.
type snapshotSlot struct {
	At     int64  `json:"at"`
	Counts Counts `json:"counts"`
}

type snapshotSeries struct {
	Name
	Minutes   []snapshotSlot `json:"minutes,omitempty"`
	HalfHours []snapshotSlot `json:"halfHours,omitempty"`
	SixHours  []snapshotSlot `json:"sixHours,omitempty"`
	Kinds     []kindHour     `json:"kinds,omitempty"`
}

type snapshotLedger struct {
	Closed  int64             `json:"closed"`
	Sources map[string]source `json:"sources"`
	Series  []snapshotSeries  `json:"series"`
}

// Snapshot is a ledger as it is stored.
type Snapshot struct {
	// Data is the compressed JSON form.
	Data []byte
	// merged says up to which sequence each source's deltas are in it.
	merged map[string]uint64
}

// Snapshot returns the ledger's present state for the object store.
func (l *Ledger) Snapshot() (Snapshot, error) {
	s := snapshotLedger{Closed: l.closed, Sources: l.sources}
	for _, n := range l.names() {
		r := l.series[n]
		s.Series = append(s.Series, snapshotSeries{
			Name: n, Minutes: r.minutes.filled(), HalfHours: r.halfHours.filled(), SixHours: r.sixHours.filled(),
			Kinds: r.kinds[:],
		})
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return Snapshot{}, therror.Wrap(therror.Internal, err, "burn snapshot")
	}
	if err := z.Close(); err != nil {
		return Snapshot{}, therror.Wrap(therror.Internal, err, "burn snapshot")
	}
	merged := make(map[string]uint64, len(l.sources))
	for name, o := range l.sources {
		merged[name] = o.Merged
	}
	return Snapshot{Data: b.Bytes(), merged: merged}, nil
}

// Stored notes that the snapshot outlasts this VM.
func (l *Ledger) Stored(s Snapshot) {
	for name, merged := range s.merged {
		if o, ok := l.sources[name]; ok {
			o.Stored = max(o.Stored, merged)
			l.sources[name] = o
		}
	}
}

// Absorb adds a snapshot to what the ledger holds. Stored says whether it came
// from the store, so that senders need not keep what is in it.
func (l *Ledger) Absorb(now thclock.Instant, data []byte, stored bool) error {
	s, err := readSnapshot(data)
	if err != nil {
		return err
	}
	if l.series == nil {
		l.series = make(map[Name]*series)
	}
	if l.sources == nil {
		l.sources = make(map[string]source)
	}
	for _, o := range s.Series {
		l.absorbSeries(o)
	}
	for name, o := range s.Sources {
		old := l.sources[name]
		n := source{Merged: max(old.Merged, o.Merged), Stored: old.Stored, Heard: max(old.Heard, o.Heard)}
		if stored {
			n.Stored = max(old.Stored, o.Merged)
		}
		l.sources[name] = n
	}
	l.closed = max(l.closed, s.Closed)
	l.forget(MinuteOf(now))
	return nil
}

func (l *Ledger) absorbSeries(o snapshotSeries) {
	r, ok := l.series[o.Name]
	if !ok {
		r = newSeries()
		l.series[o.Name] = r
	}
	r.minutes.absorb(o.Minutes)
	r.halfHours.absorb(o.HalfHours)
	r.sixHours.absorb(o.SixHours)
	for _, k := range o.Kinds {
		r.addKinds(k.Hour*hourMinutes, k.Counts)
	}
}

// readSnapshot bounds what a damaged object can make of the memory.
func readSnapshot(data []byte) (snapshotLedger, error) {
	const maxBytes = 64 << 20
	var s snapshotLedger
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return s, therror.Wrap(therror.MessageMalformed, err, "burn snapshot")
	}
	if err := json.NewDecoder(io.LimitReader(z, maxBytes)).Decode(&s); err != nil {
		return s, therror.Wrap(therror.MessageMalformed, err, "burn snapshot")
	}
	maps.DeleteFunc(s.Sources, func(name string, _ source) bool { return name == "" })
	return s, nil
}

func (r ring) filled() []snapshotSlot {
	var all []snapshotSlot
	for _, s := range r.slots {
		if s.counts != (Counts{}) {
			all = append(all, snapshotSlot{s.at, s.counts})
		}
	}
	return all
}

func (r ring) absorb(all []snapshotSlot) {
	for _, s := range all {
		r.add(s.At*r.minutes, s.Counts)
	}
}
