// Package thevent holds the numbered log events. Each has one row in the
// catalogue, and docs/EVENTS.md gives its cause and what to do.
package thevent

import "slices"

// ID is an event's number. Numbers are never reused.
type ID int

// Level is an event's severity.
type Level uint8

// The severities.
const (
	Info Level = iota
	Warn
	Fault
)

// Event is an event's row in the catalogue.
type Event struct {
	ID    ID
	Level Level
	// Name is the event's name in camel case.
	Name string
	// Text is a fixed sentence; what varies goes into fields.
	Text string
}

// Field is a named value logged with an event.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Logger records events. Implementations are safe for concurrent use.
type Logger interface {
	Log(id ID, fields ...Field)
}

// Discard is a Logger that records nothing.
type Discard struct{}

// Log does nothing.
func (Discard) Log(ID, ...Field) {}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	all := slices.Concat(processEvents, targetEvents, requestEvents, platformEvents, peerEvents)
	slices.SortFunc(all, func(a, b Event) int { return int(a.ID) - int(b.ID) })
	return all
}

var byID = index()

func index() []Event {
	all := Catalogue()
	rows := make([]Event, all[len(all)-1].ID+1)
	for _, e := range all {
		rows[e.ID] = e
	}
	return rows
}

// Lookup returns the row of an event, and false for a number not in the catalogue.
func Lookup(id ID) (Event, bool) {
	if id < 0 || int(id) >= len(byID) || byID[id].ID == 0 {
		return Event{}, false
	}
	return byID[id], true
}
