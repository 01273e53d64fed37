package thsource

import (
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
)

// pollGrace is how much longer than it waits for a change a call for a newer table may take
// until the table counts as unread.
const pollGrace = 500 * time.Millisecond

// ownReads records when this VM last read the store. Source.mu guards it.
type ownReads struct {
	// targetsAt is when the last successful read of the targets began, and tableAt when the
	// store last answered a call for a newer table; zero if none did.
	targetsAt, tableAt time.Time
	// followsTable is set while this VM waits for newer tables and the store has answered the
	// last call. The call under way has to be answered before pollOverdueAt.
	followsTable  bool
	pollOverdueAt time.Time
}

// ages returns how long ago the table and the targets were read. A table that the VM follows
// is as of now, unless the call under way is overdue.
func (r ownReads) ages(now time.Time) thfleet.ReadAges {
	table := now.Sub(r.tableAt)
	if r.followsTable && now.Before(r.pollOverdueAt) {
		table = 0
	}
	return thfleet.NewReadAges(table, now.Sub(r.targetsAt))
}

// ReadAges returns how long ago this VM itself read the table and the targets.
func (s *Source) ReadAges() thfleet.ReadAges {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.ages(time.Now())
}

// recordTableCall records that a call for a newer table begins.
func (s *Source) recordTableCall(overdueAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.pollOverdueAt = overdueAt
}

// recordTableResult records whether the store answered a call for a newer table. This VM may
// have ceased to be the reader during the call.
func (s *Source) recordTableResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := err == nil || therror.Is(err, therror.MessageMalformed)
	s.reads.followsTable = answered && s.reader
	if answered {
		s.reads.tableAt = time.Now()
	}
}
