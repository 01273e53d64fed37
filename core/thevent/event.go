// Package thevent defines the numbered log events. docs/EVENTS.md describes the
// cause of each event and what an operator should do about it.
package thevent

import "slices"

// ID is an event's number. The number of a removed event is never reused.
type ID int

// Level is the severity at which an event is logged.
type Level uint8

// The severities, in ascending order.
const (
	Info Level = iota
	Warn
	Fault
)

// Event describes one kind of log event.
type Event struct {
	ID    ID
	Level Level
	// Name identifies the event in the log, in camel case.
	Name string
	// Text is the log message. It is constant; details go into fields.
	Text string
}

// Field is a detail logged with an event, such as an address or an error.
type Field struct {
	Name  string
	Value any
}

// F returns a Field with the given name and value.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Logger writes events to a log. Implementations are safe for concurrent use.
type Logger interface {
	Log(id ID, fields ...Field)
}

// Discard is a Logger that drops every event.
type Discard struct{}

// Log drops the event.
func (Discard) Log(ID, ...Field) {}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	all := slices.Concat(processEvents, targetEvents, requestEvents, platformEvents, peerEvents)
	slices.SortFunc(all, func(a, b Event) int { return int(a.ID) - int(b.ID) })
	return all
}

// eventsByID is indexed by event number; unused numbers hold the zero Event.
var eventsByID = indexEvents()

func indexEvents() []Event {
	all := Catalogue()
	indexed := make([]Event, all[len(all)-1].ID+1)
	for _, e := range all {
		indexed[e.ID] = e
	}
	return indexed
}

// Lookup returns the event with the given number, or false if there is none.
func Lookup(id ID) (Event, bool) {
	if id < 0 || int(id) >= len(eventsByID) || eventsByID[id].ID == 0 {
		return Event{}, false
	}
	return eventsByID[id], true
}
