package thburn

import "slices"

// maxHeld bounds the entries that an outbox keeps for one part until they
// outlast their home.
const maxHeld = 1_000

// Outbox keeps one source's deltas for one part until they outlast the part's
// home, so that a home that is replaced gets them again. The zero Outbox is
// empty. It is not safe for concurrent use.
type Outbox struct {
	held    []Delta
	entries int
	last    uint64
	// home is the VM that merged says something of.
	home   string
	merged uint64
	// Dropped counts entries that were let go before they were stored.
	Dropped int
}

// Add queues what was counted in a minute.
func (o *Outbox) Add(minute int64, entries []Entry) {
	o.last++
	o.held = append(o.held, Delta{Sequence: o.last, Minute: minute, Entries: entries})
	o.entries += len(entries)
	for o.entries > maxHeld && len(o.held) > 1 {
		if o.held[0].Sequence > o.merged {
			o.Dropped += len(o.held[0].Entries)
		}
		o.drop(1)
	}
}

func (o *Outbox) drop(n int) {
	for _, d := range o.held[:n] {
		o.entries -= len(d.Entries)
	}
	o.held = slices.Delete(o.held, 0, n)
}

// DropBefore lets go of what was counted before the minute, to make room.
func (o *Outbox) DropBefore(minute int64) {
	n := 0
	for n < len(o.held) && o.held[n].Minute < minute {
		if o.held[n].Sequence > o.merged {
			o.Dropped += len(o.held[n].Entries)
		}
		n++
	}
	o.drop(n)
}

// Oldest returns the minute of the oldest delta, and false if none is held.
func (o *Outbox) Oldest() (int64, bool) {
	if len(o.held) == 0 {
		return 0, false
	}
	return o.held[0].Minute, true
}

// Pending returns the deltas that the home has not said to have counted. A
// home is named by its VM and incarnation; another home gets all that are held.
func (o *Outbox) Pending(home string) []Delta {
	if home != o.home {
		o.home = home
		o.merged = 0
	}
	i := 0
	for i < len(o.held) && o.held[i].Sequence <= o.merged {
		i++
	}
	return slices.Clone(o.held[i:])
}

// Acknowledge takes a home's answer.
func (o *Outbox) Acknowledge(home string, a Acknowledgement) {
	if home != o.home {
		return
	}
	o.merged = max(o.merged, a.Merged)
	n := 0
	for n < len(o.held) && o.held[n].Sequence <= a.Stored {
		n++
	}
	o.drop(n)
}

// Held is how many entries are kept.
func (o *Outbox) Held() int { return o.entries }
