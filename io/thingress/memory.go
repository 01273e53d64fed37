package thingress

import (
	"errors"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmemory"
)

const (
	// maxMemoryWait bounds the wait for others to give way, and memoryPoll is how often a waiting
	// entry looks again: those that give way have to notice and to end.
	maxMemoryWait = time.Second
	memoryPoll    = 20 * time.Millisecond
	// maxMemoryWaiters bounds the entries that wait, since each look goes over all entries.
	maxMemoryWaiters = 32
	// shortageInterval is how often the events of a shortage are logged at most.
	shortageInterval = 10 * time.Second
	// connectionBytes is what a connection takes beside the buffer for a head: a write buffer, the
	// stacks of two goroutines and small objects; see CAPACITY.md.
	connectionBytes = 14 << 10
	// ConnectionBytes is what a connection takes with the buffer for a head of the default size.
	ConnectionBytes = connectionBytes + defaultHeaderBytes
	// requestBytes is what a request takes beside its head, body and answer: its fields, those of its
	// route and customer, and a goroutine. runningBytes is for the buffers of an attempt at a target.
	requestBytes = 6 << 10
	runningBytes = 18 << 10
	// headFactor is how many times its length a head takes: it is copied in parts.
	headFactor = 2
)

// errBodyMemory means that what callers make the VM hold leaves no room for a request.
var errBodyMemory = errors.New("what callers make the VM hold takes all memory that is left for it")

// callerMemory shares the account of callers' memory between connections and tells entries to give
// way.
type callerMemory struct {
	log   thevent.Logger
	clock thclock.Clock

	mu      sync.Mutex
	account thmemory.Account
	// giveWay holds what to call when an entry has to give way.
	giveWay map[thmemory.ID]func(thmemory.Phase)
	waiting int
	counts  MemoryCounts
	// logged are the counts at the last event, and logAt is when the next one may be logged.
	logged MemoryCounts
	logAt  thclock.Instant
}

// MemoryCounts count what the server has done since its start because memory or connections were
// short.
type MemoryCounts struct {
	// RequestsDisplaced are requests and answers that gave way, ConnectionsDisplaced silent
	// connections that did.
	RequestsDisplaced, ConnectionsDisplaced uint64
	// RequestsRefused are requests and answers for which there was no room, ConnectionsRefused
	// connections for which there was none.
	RequestsRefused, ConnectionsRefused uint64
}

// holding is one entry of the account. The zero holding has no entry.
type holding struct {
	memory *callerMemory
	id     thmemory.ID
	bytes  int64
}

// openConnection adds a connection, and returns false if there is no room for it.
func (m *callerMemory) openConnection(bytes int64, giveWay func(thmemory.Phase)) (holding, bool) {
	var id thmemory.ID
	granted := m.await(func(now thclock.Instant) (verdict thmemory.Verdict, victims []thmemory.Victim) {
		id, verdict, victims = m.account.OpenConnection(now, bytes)
		return verdict, victims
	}, func() { m.giveWay[id] = giveWay }, &m.counts.ConnectionsRefused)
	return holding{m, id, bytes}, granted
}

// openRequest adds a request without bytes on the connection.
func (m *callerMemory) openRequest(connection thmemory.ID, owner thmemory.Owner, giveWay func(thmemory.Phase)) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.account.OpenRequest(m.clock.Now(), connection, owner)
	m.giveWay[id] = giveWay
	return &holding{memory: m, id: id}
}

// await asks until the verdict is no longer to wait, and reports whether it is granted. Then it calls
// done, otherwise it raises refused; both while m.mu is held.
func (m *callerMemory) await(ask func(now thclock.Instant) (thmemory.Verdict, []thmemory.Victim), done func(), refused *uint64) bool {
	until := m.clock.Now().Add(maxMemoryWait)
	for isWaiting := false; ; {
		m.mu.Lock()
		if isWaiting {
			m.waiting--
		}
		now := m.clock.Now()
		verdict, victims := ask(now)
		calls := m.tell(victims)
		isWaiting = verdict == thmemory.Wait && now.Before(until) && m.waiting < maxMemoryWaiters
		switch {
		case verdict == thmemory.Granted:
			done()
		case isWaiting:
			m.waiting++
		default:
			*refused++
		}
		report := m.dueReport(now)
		m.mu.Unlock()
		for _, call := range calls {
			call()
		}
		if report != nil {
			m.log.Log(thevent.CallerMemoryShort, report...)
		}
		if !isWaiting {
			return verdict == thmemory.Granted
		}
		time.Sleep(memoryPoll)
	}
}

// tell returns the calls that tell the victims to give way. m.mu must be held.
func (m *callerMemory) tell(victims []thmemory.Victim) []func() {
	calls := make([]func(), 0, len(victims))
	for _, v := range victims {
		if v.Phase == thmemory.Idle {
			m.counts.ConnectionsDisplaced++
		} else {
			m.counts.RequestsDisplaced++
		}
		giveWay := m.giveWay[v.ID]
		calls = append(calls, func() { giveWay(v.Phase) })
	}
	return calls
}

// dueReport returns the fields of an event if anything has been displaced or refused since the last
// one, and that was long enough ago. m.mu must be held.
func (m *callerMemory) dueReport(now thclock.Instant) []thevent.Field {
	if m.counts == m.logged || now.Before(m.logAt) {
		return nil
	}
	fields := []thevent.Field{
		thevent.F("bytes", m.account.Used()), thevent.F("limit", m.account.Limit()), thevent.F("connections", m.account.Connections()),
		thevent.F("requestsDisplaced", m.counts.RequestsDisplaced-m.logged.RequestsDisplaced),
		thevent.F("requestsRefused", m.counts.RequestsRefused-m.logged.RequestsRefused),
		thevent.F("connectionsDisplaced", m.counts.ConnectionsDisplaced-m.logged.ConnectionsDisplaced),
		thevent.F("connectionsRefused", m.counts.ConnectionsRefused-m.logged.ConnectionsRefused),
	}
	m.logged, m.logAt = m.counts, now.Add(shortageInterval)
	return fields
}

// grow holds more bytes, and waits a while if others give way for them. It returns false if there is
// no room.
func (h *holding) grow(bytes int64) bool {
	return h.memory.await(func(now thclock.Instant) (thmemory.Verdict, []thmemory.Victim) {
		return h.memory.account.Charge(now, h.id, bytes)
	}, func() { h.bytes += bytes }, &h.memory.counts.RequestsRefused)
}

// release gives back all bytes but keeps the entry.
func (h *holding) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Release(h.id, h.bytes)
	h.bytes = 0
}

// setPhase changes what the memory is held for. It returns false if the entry has to give way.
func (h *holding) setPhase(phase thmemory.Phase) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.memory.account.SetPhase(h.memory.clock.Now(), h.id, phase)
}

// progress records bytes that have arrived or have been sent.
func (h *holding) progress(bytes int) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Progress(h.memory.clock.Now(), h.id, int64(bytes))
}

// close gives back everything. It may be called on a nil holding, and again.
func (h *holding) close() {
	if h == nil || h.memory == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Close(h.id)
	delete(h.memory.giveWay, h.id)
}

// LimitMemory bounds what callers make the server hold, in bytes, and the number of their
// connections; 0 means no bound.
func (s *Server) LimitMemory(bytes int64, connections int) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.account.SetLimits(bytes, connections)
}

// MemoryUse is what callers make the server hold, in bytes.
type MemoryUse struct {
	// Connections is for connections with their buffers, Requests for requests and answers.
	Connections, Requests int64
	// Limit is 0 if there is none.
	Limit  int64
	Counts MemoryCounts
}

// MemoryUse returns what callers make the server hold.
func (s *Server) MemoryUse() MemoryUse {
	m := &s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	connections := m.account.ConnectionBytes()
	return MemoryUse{Connections: connections, Requests: m.account.Used() - connections, Limit: m.account.Limit(), Counts: m.counts}
}
