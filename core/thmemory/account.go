package thmemory

import (
	"cmp"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// OrdinaryBytes is what an ordinary request holds at most, of its head and body or of its
	// answer.
	OrdinaryBytes = 64 << 10
	// reservedPart is the part of the limit, 1/reservedPart, that only connections and ordinary
	// requests may use.
	reservedPart = 16
	// stalledAfter is the time without progress from which an entry may have to give way. A lost
	// packet is sent again sooner.
	stalledAfter = 500 * time.Millisecond
	// maxLeaving bounds the connections that give way at once to new ones, since they take a while
	// to end.
	maxLeaving = 32
	// progressBytes is how much has to move for progress, so that single bytes are none.
	progressBytes = 1 << 10
)

// ID identifies an entry of an Account. IDs are not used again.
type ID uint64

// Phase says what an entry's memory is held for.
type Phase uint8

const (
	// Idle is a connection that waits for a request, or for the rest of a request's head.
	Idle Phase = iota
	// Running is a connection with requests, or a request that targets may have got. It never
	// gives way.
	Running
	// Reading is a request whose body is arriving.
	Reading
	// Writing is an answer that waits for its caller to read it.
	Writing
)

// Owner is who an entry is charged to.
type Owner struct {
	// Customer is the customer's name, or empty if there is none.
	Customer string
	// HasKey is set if the request has a valid key, or needs none because no caller has one.
	HasKey bool
}

// Verdict is the answer to a Charge.
type Verdict uint8

const (
	// Refused means that there is no room and none will come.
	Refused Verdict = iota
	// Wait means that others give way: the same Charge may be granted once they have closed.
	Wait
	// Granted means that the bytes are charged.
	Granted
)

// Victim is an entry that has to give way. Its phase says what of it has to end.
type Victim struct {
	ID    ID
	Phase Phase
}

// Account counts all memory that callers make a VM hold: connections with their buffers, heads and
// bodies of requests as they are allocated, and answers that wait for slow readers. It answers
// memory that grows with what callers send and don't read. Within its limit
//
//   - a customer's requests have at most three quarters of what the others leave,
//   - a sixteenth is reserved for connections and for ordinary requests with a valid key,
//   - when memory is short, requests without a valid key give way first, then the largest and
//     slowest. Requests that targets may have got never do.
//
// The zero Account has no limit. It is not safe for concurrent use.
type Account struct {
	ledger  ledger
	entries map[ID]*entry
	lastID  ID
	// maxConnections is 0 for no bound.
	maxConnections, connections int
	connectionBytes             int64
}

type entry struct {
	id           ID
	owner        Owner
	phase        Phase
	isConnection bool
	// connection is that of a request; it ends if the request gives way.
	connection ID
	bytes      int64
	// moved counts the bytes since the last progress, which was at progressAt.
	moved      int64
	progressAt thclock.Instant
	givesWay   bool
}

// SetLimits sets the limit in bytes and the greatest number of connections; 0 means no limit. What
// is held already stays held.
func (a *Account) SetLimits(bytes int64, connections int) {
	a.ledger.limit = bytes
	a.maxConnections = connections
}

// Limit returns the limit in bytes, 0 if there is none.
func (a *Account) Limit() int64 { return a.ledger.limit }

// Used returns the bytes of all entries.
func (a *Account) Used() int64 { return a.ledger.used }

// ConnectionBytes returns the bytes that connections hold without their requests.
func (a *Account) ConnectionBytes() int64 { return a.connectionBytes }

// Connections returns the number of connections.
func (a *Account) Connections() int { return a.connections }

// OpenConnection adds an idle connection that takes the given bytes. If it is not granted, the
// connection has no entry and has to be closed; others may have to give way for the next one.
func (a *Account) OpenConnection(now thclock.Instant, bytes int64) (ID, Verdict, []Victim) {
	e := &entry{id: a.lastID + 1, isConnection: true, progressAt: now}
	if a.maxConnections > 0 && a.connections >= a.maxConnections {
		verdict, victims := a.displaceConnection(now, e)
		return 0, verdict, victims
	}
	a.add(e)
	a.connections++
	verdict, victims := a.Charge(now, e.id, bytes)
	if verdict != Granted {
		a.Close(e.id)
		return 0, verdict, victims
	}
	return e.id, Granted, nil
}

// displaceConnection lets a connection give way to e, by itself or with its request, unless
// enough do so already.
func (a *Account) displaceConnection(now thclock.Instant, e *entry) (Verdict, []Victim) {
	leaving := 0
	for _, v := range a.entries {
		if v.isConnection && v.givesWay {
			leaving++
		}
	}
	if leaving >= maxLeaving {
		return Wait, nil
	}
	all := a.candidates(now, e, 0, func(v *entry) bool { return v.isConnection || v.connection != 0 })
	switch {
	case len(all) > 0 && all[0].rank != large:
		return Wait, []Victim{a.displace(all[0].entry)}
	case leaving > 0:
		return Wait, nil
	}
	return Refused, nil
}

// displace marks the entry as one that has to give way, and its connection, which ends with it.
func (a *Account) displace(v *entry) Victim {
	v.givesWay = true
	if c := a.entries[v.connection]; c != nil {
		c.givesWay = true
	}
	return Victim{v.id, v.phase}
}

// OpenRequest adds an entry without bytes for a request on the connection, whose head has been read.
func (a *Account) OpenRequest(now thclock.Instant, connection ID, owner Owner) ID {
	e := &entry{id: a.lastID + 1, owner: owner, phase: Reading, connection: connection, progressAt: now}
	a.add(e)
	return e.id
}

func (a *Account) add(e *entry) {
	if a.entries == nil {
		a.entries = make(map[ID]*entry)
	}
	a.lastID = e.id
	a.entries[e.id] = e
}

// SetPhase changes what the entry's memory is held for. It returns false, and changes nothing, if
// the entry has to give way.
func (a *Account) SetPhase(now thclock.Instant, id ID, phase Phase) bool {
	e := a.entries[id]
	if e == nil || e.givesWay {
		return false
	}
	e.phase, e.progressAt, e.moved = phase, now, 0
	return true
}

// Progress records that bytes of the entry have arrived or have been sent.
func (a *Account) Progress(now thclock.Instant, id ID, bytes int64) {
	e := a.entries[id]
	if e == nil {
		return
	}
	if e.moved += bytes; e.moved >= progressBytes {
		e.progressAt, e.moved = now, 0
	}
}

// Charge adds bytes to the entry, unless there is no room for them. The victims have to be told to
// give way, and to be closed soon.
func (a *Account) Charge(now thclock.Instant, id ID, bytes int64) (Verdict, []Victim) {
	e := a.entries[id]
	switch {
	case e == nil || e.givesWay:
		return Refused, nil
	case a.fits(e, bytes, 0, 0):
		a.ledger.add(e.holder(), bytes)
		e.bytes += bytes
		if e.isConnection {
			a.connectionBytes += bytes
		}
		return Granted, nil
	}
	return a.makeRoom(now, e, bytes)
}

// Release gives back bytes of the entry.
func (a *Account) Release(id ID, bytes int64) {
	e := a.entries[id]
	if e == nil {
		return
	}
	if bytes = min(bytes, e.bytes); bytes <= 0 {
		return
	}
	a.ledger.release(e.holder(), bytes)
	e.bytes -= bytes
	if e.isConnection {
		a.connectionBytes -= bytes
	}
}

// Close removes the entry and gives back all its bytes.
func (a *Account) Close(id ID) {
	e := a.entries[id]
	if e == nil {
		return
	}
	a.Release(id, e.bytes)
	if e.isConnection {
		a.connections--
	}
	delete(a.entries, id)
}

// holder is the name under which the ledger counts the entry. Customers have names without a zero
// byte.
func (e *entry) holder() string {
	if e.isConnection {
		return "\x00connections"
	}
	return e.owner.Customer
}

// isOrdinary reports whether the entry is a connection or, with further bytes, the ordinary request
// of a caller with a valid key.
func (e *entry) isOrdinary(bytes int64) bool {
	return e.isConnection || e.owner.HasKey && e.bytes+bytes <= OrdinaryBytes
}

// reservedFor returns the bytes that the entry has to leave to others.
func (a *Account) reservedFor(e *entry, bytes int64) int64 {
	if e.isOrdinary(bytes) {
		return 0
	}
	return a.ledger.limit / reservedPart
}

// fits reports whether the entry may have further bytes once others have freed some, and as many of
// its own holder as given. Connections have no part of their own: their number is bounded.
func (a *Account) fits(e *entry, bytes, freed, freedOwn int64) bool {
	return a.ledger.hasRoom(bytes-freed, a.reservedFor(e, bytes)) &&
		(e.isConnection || a.ledger.isWithinPart(e.holder(), bytes, freed, freedOwn))
}

// makeRoom lets others give way to the entry. Nobody does if that would not be enough.
func (a *Account) makeRoom(now thclock.Instant, e *entry, bytes int64) (Verdict, []Victim) {
	freed, freedOwn := a.leaving(e)
	// If only its holder's part stands in the entry's way, nobody else makes room for it.
	ownOnly := a.ledger.hasRoom(bytes, a.reservedFor(e, bytes))
	candidates := a.candidates(now, e, bytes, func(v *entry) bool { return !ownOnly || v.holder() == e.holder() })
	count := 0
	for ; !a.fits(e, bytes, freed, freedOwn); count++ {
		if count == len(candidates) {
			return Refused, nil
		}
		v := candidates[count].entry
		freed += v.bytes
		if v.holder() == e.holder() {
			freedOwn += v.bytes
		}
	}
	victims := make([]Victim, 0, count)
	for _, c := range candidates[:count] {
		victims = append(victims, a.displace(c.entry))
	}
	return Wait, victims
}

// leaving returns what entries hold that have been told to give way, and of that what the entry's
// own holder has.
func (a *Account) leaving(e *entry) (freed, freedOwn int64) {
	for _, v := range a.entries {
		if v.givesWay {
			freed += v.bytes
			if v.holder() == e.holder() {
				freedOwn += v.bytes
			}
		}
	}
	return freed, freedOwn
}

// The ranks of entries that may have to give way, in the order in which they do.
const (
	withoutKey = iota
	stalled
	silentConnection
	large
	stays
)

// candidate is an entry that may have to give way.
type candidate struct {
	*entry
	rank  int
	score float64
}

// candidates returns the entries that may have to give way to e, which asks for bytes, among those
// that match, in their order.
func (a *Account) candidates(now thclock.Instant, e *entry, bytes int64, matches func(v *entry) bool) []candidate {
	var all []candidate
	for _, v := range a.entries {
		if v == e || v.bytes == 0 || !matches(v) {
			continue
		}
		if rank := v.rank(now, e, bytes); rank != stays {
			all = append(all, candidate{v, rank, v.score(now, rank)})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.score, x.score), cmp.Compare(x.id, y.id))
	})
	return all
}

// rank returns in which order the entry gives way to the asking one, which asks for bytes.
func (e *entry) rank(now thclock.Instant, asking *entry, bytes int64) int {
	isStalled := now.Sub(e.progressAt) >= stalledAfter
	switch {
	case e.givesWay || e.phase == Running:
		return stays
	case e.phase == Idle:
		if isStalled && asking.isOrdinary(bytes) {
			return silentConnection
		}
		return stays
	case !e.owner.HasKey && (asking.owner.HasKey || asking.isConnection || isStalled):
		return withoutKey
	case isStalled && (asking.owner.HasKey || asking.isConnection):
		return stalled
	case !e.isOrdinary(0) && asking.isOrdinary(bytes):
		return large
	}
	return stays
}

// score orders entries of the same rank: the larger and slower one gives way first.
func (e *entry) score(now thclock.Instant, rank int) float64 {
	if rank == large {
		return float64(e.bytes)
	}
	return float64(e.bytes) * (now.Sub(e.progressAt).Seconds() + stalledAfter.Seconds())
}
