// Package threquest holds a request and its answer as they pass from the
// caller's side to a target and back.
package threquest

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
)

// Header is one header field.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Request is a caller's request after authentication and routing. It holds
// copies only, so it may outlive the handler that made it.
type Request struct {
	// ID is the correlation ID that a target may echo.
	ID string
	// Customer is the zero Customer on open routes.
	Customer thconfig.Customer
	// KeyID is the public part of the key that the request carried; empty on
	// open routes.
	KeyID   string
	Route   thconfig.Route
	Service thconfig.Service
	Method  string
	// URI is the path and query as the caller sent them.
	URI string
	// Headers have the key and hop-by-hop fields taken out.
	Headers []Header
	Body    []byte
	// IdempotencyKey is empty if the caller gave none.
	IdempotencyKey string
	// Deadline is the caller's, or the service's timeout from arrival.
	Deadline thclock.Instant
}

// RepeatSafe reports whether the request may run more than once.
func (r *Request) RepeatSafe() bool { return r.Route.RepeatSafe(r.Method) }

// Answer is a target's whole answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Target is the address of the target that answered.
	Target string
	// Attempts is how many targets the request was sent to.
	Attempts int
	// Took is how long the target that answered took.
	Took time.Duration
}

// Attempt is one try against one target.
type Attempt struct {
	Target string
	// Answer is nil if Err is set.
	Answer *Answer
	// Err is of a kind of package therror: ConnectFailed promises that no byte
	// left; AnswerLost, AnswerBroken and AnswerLate do not.
	Err error
	// Sent is whether any byte of the request may have left for the target.
	Sent bool
	// Reused is whether the connection had served an earlier request.
	Reused bool
	// Began and Ended bound the attempt.
	Began, Ended thclock.Instant
}
