// Package thmessage holds the parsed request and answer that a VM forwards
// between a caller and a target.
package thmessage

import (
	"strings"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"
)

// HeaderField is the name and value of one HTTP header field.
type HeaderField struct{ Name, Value string }

// Request is a caller's request after routing. It holds copies only, so that it
// may outlive the buffers it was read into.
type Request struct {
	// ID is set by the caller and unique to each of the caller's own attempts.
	ID string
	// Customer is the zero Customer on open routes.
	Customer thtable.Customer
	Route    thtable.Route
	Method   string
	Host     string
	// URI is the path and query as the caller sent them.
	URI string
	// Header holds the fields to pass on: neither hop-by-hop fields nor those meant
	// for the proxy itself.
	Header  []HeaderField
	Body    Body
	Arrived thclock.Instant
	// Objective is the instant up to which an answer meets the route's latency
	// objective.
	Objective thclock.Instant
	// Deadline is the earlier of the caller's deadline and the route's.
	Deadline thclock.Instant
}

// Answer is a target's complete answer.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// HeaderNames holds the names of the header fields that callers, VMs and targets
// exchange with each other. A field whose name is empty is neither sent nor
// recognised.
type HeaderNames struct {
	// RequestID carries the ID of the caller's attempt, in requests and answers.
	RequestID string
	// Deadline carries the number of milliseconds that the sender will wait.
	Deadline string
	// Target carries the ID of the target that is meant. Any other target refuses
	// the request without running it.
	Target string
	// Customer carries the customer's name to the target.
	Customer string
	// Signature is present in answers that come from a target itself.
	Signature string
	// NotRun is present in answers to requests that the target did not run.
	NotRun string
	// Leaving are the names of the field whose value is 1 in the answers of a target that
	// leaves, whatever their status.
	Leaving []string
	// Cold carries for how many more milliseconds a target is cold, in its answers.
	Cold string
	// ServerLoad carries a target's running and waiting requests and its slots, separated by
	// commas, in its answers.
	ServerLoad string
	// ReservedPrefix is the prefix of the fields that callers may not set, except
	// RequestID and Deadline.
	ReservedPrefix string
}

// DefaultHeaderNames returns the names that are used where the platform defines
// none.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Tamarack-Request-Id", Deadline: "Tamarack-Deadline-Millis", Target: "Tamarack-Target",
		Customer: "Tamarack-Customer", Signature: "Tamarack-Signature", NotRun: "Tamarack-Not-Run", Leaving: []string{"Tamarack-Leaving"},
		Cold: "Tamarack-Cold-Millis", ServerLoad: "Tamarack-Server-Load", ReservedPrefix: "Tamarack-",
	}
}

// hopByHopFields are the fields, in lower case, that belong to one connection and
// are not passed on.
var hopByHopFields = [...]string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
	"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
}

// IsHopByHop reports whether the header field of the name belongs to one
// connection only and is not passed on. Case does not matter.
func IsHopByHop(name string) bool {
	for _, field := range hopByHopFields {
		if len(field) == len(name) && strings.EqualFold(field, name) {
			return true
		}
	}
	return false
}

// IsListedInConnection reports whether the value of a Connection field lists the
// field of the name, which makes it hop-by-hop too. Case does not matter.
func IsListedInConnection(connection, name string) bool {
	if connection == "" {
		return false
	}
	for listed := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(listed), name) {
			return true
		}
	}
	return false
}

// TimeLeft returns the time until the deadline, or 0 once it has passed.
func (r *Request) TimeLeft(now thclock.Instant) time.Duration { return max(0, r.Deadline.Sub(now)) }
