// Package thfleet holds what a VM knows of the other VMs of the fleet, and
// what they tell each other: requests in flight, outcomes of attempts,
// admitted requests, repeats, and which of them reads the platform's store.
//
// Counts are passed as totals, so that a lost or repeated notice does no harm.
package thfleet

import "tamarackhollow/core/thjudge"

// Key names a target, customer or service in a notice, in 4 bytes.
type Key uint32

// VMKey names a VM in a notice.
type VMKey uint64

// Load is how many requests the sender has in flight at a target.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Target   Key
	InFlight uint16
}

// AttemptResult is how one of the sender's attempts ended.
type AttemptResult struct {
	_       struct{} `cbor:",toarray"`
	Target  Key
	Outcome thjudge.Outcome
	// LatencyRatio is the logarithm to base 2, in eighths, of how much longer the
	// attempt took than expected; PaceUnknown if that says nothing.
	LatencyRatio int8
}

// Crash is a target's end while it ran a request.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Customer and Request are the key of the request's quarantine.
	Customer string
	Request  uint64
	Target   Key
}

// UnknownLatencyRatio marks an attempt whose time says nothing about the target.
const UnknownLatencyRatio = -128

// KeyCount is a count since the sender's start.
type KeyCount struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Count uint32
}

// StoreVersions is what the sender knows of the platform's store, if it reads it.
type StoreVersions struct {
	_       struct{} `cbor:",toarray"`
	Table   uint64
	Targets uint64
}

// Identity introduces the sender.
type Identity struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Zone string
	// Address is where the sender takes notices, "IP:port".
	Address string
}

// Notice is what one VM tells others in one datagram.
type Notice struct {
	From VMKey `cbor:"1,keyasint"`
	// StartMillis is when the sender started, in Unix milliseconds.
	StartMillis uint64 `cbor:"2,keyasint"`
	// Sequence rises with each notice of a start.
	Sequence      uint32          `cbor:"3,keyasint"`
	Loads         []Load          `cbor:"4,keyasint,omitempty"`
	Results       []AttemptResult `cbor:"5,keyasint,omitempty"`
	Admitted      []KeyCount      `cbor:"6,keyasint,omitempty"`
	Retries       []KeyCount      `cbor:"7,keyasint,omitempty"`
	Identity      *Identity       `cbor:"8,keyasint,omitempty"`
	StoreVersions *StoreVersions  `cbor:"9,keyasint,omitempty"`
	Leaving       bool            `cbor:"10,keyasint,omitempty"`
	// WantsIdentity is set if the sender wants the receiver's identity.
	WantsIdentity bool    `cbor:"11,keyasint,omitempty"`
	Crashes       []Crash `cbor:"13,keyasint,omitempty"`
	// Refused are the requests refused by service.
	Refused []KeyCount `cbor:"14,keyasint,omitempty"`
	// Relay is set if the receiver is to pass the notice on within its zone.
	Relay bool `cbor:"12,keyasint,omitempty"`
}
