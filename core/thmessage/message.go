// Package thmessage holds a request and its answer as they pass from the
// callers' side of a VM to a target and back.
package thmessage

import (
	"strings"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"
)

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// Request is a caller's request after routing. It holds copies only, so it may
// outlive the buffers that it was read into.
type Request struct {
	// ID is the caller's, and unique to this attempt of the caller.
	ID string
	// Customer is empty on open routes.
	Customer thtable.Customer
	Route    thtable.Route
	Method   string
	Host     string
	// URI is the path and query as the caller sent them.
	URI string
	// Header are those that concern neither one connection nor this system.
	Header  []HeaderField
	Body    []byte
	Arrived thclock.Instant
	// Objective is until when an answer is worth its full credit.
	Objective thclock.Instant
	// Deadline is the earlier of the caller's and the route's.
	Deadline thclock.Instant
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// HeaderNames are the header fields that callers, VMs and targets share. Those of a
// zero HeaderNames are never sent or recognised.
type HeaderNames struct {
	// RequestID carries the ID of the caller's attempt, both ways.
	RequestID string
	// Deadline carries how many milliseconds the sender will wait.
	Deadline string
	// Target makes any other target refuse the request without running it.
	Target string
	// Customer tells a target whose request it is.
	Customer string
	// Signature shows that an answer is a target's own.
	Signature string
	// NotRun promises that the target did not run the request.
	NotRun string
	// ReservedPrefix begins the names that callers may not set, but for RequestID.
	ReservedPrefix string
}

// DefaultHeaderNames are the header fields of the product itself, where no platform sets
// others.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Tamarack-Request-Id", Deadline: "Tamarack-Deadline-Millis", Target: "Tamarack-Target",
		Customer: "Tamarack-Customer", Signature: "Tamarack-Signature", NotRun: "Tamarack-Not-Run", ReservedPrefix: "Tamarack-",
	}
}

// fields that concern one connection and are not passed on.
var hopByHopFields = [...]string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
	"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
}

// IsHopByHop reports whether a header field concerns one connection
// only.
func IsHopByHop(name string) bool {
	for _, f := range hopByHopFields {
		if len(f) == len(name) && strings.EqualFold(f, name) {
			return true
		}
	}
	return false
}

// IsListedInConnection reports whether the value of a Connection field names the field.
func IsListedInConnection(connection, name string) bool {
	if connection == "" {
		return false
	}
	for part := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(part), name) {
			return true
		}
	}
	return false
}

// TimeLeft returns the time left until the deadline, 0 if it has passed.
func (r *Request) TimeLeft(now thclock.Instant) time.Duration { return max(0, r.Deadline.Sub(now)) }
