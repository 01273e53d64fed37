// Package thfleet holds what a VM knows of the other VMs of the fleet, and defines
// the notices that they send each other: requests in flight, results of attempts,
// admitted and refused requests, loans between retry budgets, and versions of the
// platform's store. It also decides which VM reads the store.
//
// Another VM is live while its notices arrive (see LiveTimeout). It remains a
// member of the fleet for longer (see MemberTimeout).
//
// Notices carry counts as totals since the sender's start, so that a lost or
// duplicate notice does not distort them.
package thfleet

import "tamarackhollow/core/thhealth"

// Key is the hash of the name of a target, customer or service. Notices carry it in
// place of the name because it takes only 4 bytes.
type Key uint32

// VMKey is the hash of a VM's ID. Notices carry it in place of the ID.
type VMKey uint64

// Load holds how many requests the sender has in flight at a target.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Target   Key
	InFlight uint16
}

// AttemptResult holds how one of the sender's attempts ended, or that it is overdue.
type AttemptResult struct {
	_       struct{} `cbor:",toarray"`
	Target  Key
	Outcome thhealth.Outcome
	// LatencyRatio is the base-2 logarithm, in eighths, of the time that the attempt
	// took divided by the expected time. It is UnknownLatencyRatio if the time says
	// nothing about the target.
	LatencyRatio int8
}

// Crash reports that a target closed the connection while it ran a request, and so
// may have crashed.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Customer and Request are the fields of the request's thquarantine.Key.
	Customer string
	Request  uint64
	Target   Key
}

// UnknownLatencyRatio is the LatencyRatio of an attempt whose time says nothing about
// the target.
const UnknownLatencyRatio = -128

// KeyCount is a count of requests for one customer or service. In a Notice it is the
// total since the sender's start, in an Update the increase.
type KeyCount struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Count uint32
}

// LoanRequest asks another VM to lend a part of a service's retry budget.
type LoanRequest struct {
	_       struct{} `cbor:",toarray"`
	Service Key
	// Thousandths is the wanted amount in thousandths of a retry.
	Thousandths uint16
	// Number tells the sender's requests apart.
	Number uint32
}

// Loan is the answer to a LoanRequest.
type Loan struct {
	_       struct{} `cbor:",toarray"`
	Service Key
	// Thousandths is the amount that is lent, 0 if there is nothing left.
	Thousandths uint16
	// Number is the one of the request.
	Number uint32
}

// StoreVersions holds the versions of the routing table and of the list of targets
// that a VM has. Higher versions are newer.
type StoreVersions struct {
	_       struct{} `cbor:",toarray"`
	Table   uint64
	Targets uint64
}

// Identity holds the ID, availability zone and address of a VM.
type Identity struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Zone string
	// Address is where the VM receives notices, as "IP:port".
	Address string
}

// Notice is the content of one datagram from one VM to others.
type Notice struct {
	// From is the key of the sender.
	From VMKey `cbor:"1,keyasint"`
	// StartMillis is the time when the sender started, in Unix milliseconds. It tells
	// notices from before and after a restart apart.
	StartMillis uint64 `cbor:"2,keyasint"`
	// Sequence increases with each notice and starts again when the sender restarts.
	Sequence uint32          `cbor:"3,keyasint"`
	Loads    []Load          `cbor:"4,keyasint,omitempty"`
	Results  []AttemptResult `cbor:"5,keyasint,omitempty"`
	// Admitted holds the number of admitted requests per customer.
	Admitted []KeyCount `cbor:"6,keyasint,omitempty"`
	// Identity introduces the sender; nil if the notice does not.
	Identity *Identity `cbor:"8,keyasint,omitempty"`
	// StoreVersions is set by a VM that reads the store or relays what was read.
	StoreVersions *StoreVersions `cbor:"9,keyasint,omitempty"`
	// Leaving is set if the sender leaves the fleet.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// WantsIdentity is set if the receiver should answer with its identity.
	WantsIdentity bool    `cbor:"11,keyasint,omitempty"`
	Crashes       []Crash `cbor:"13,keyasint,omitempty"`
	// Refused holds the number of refused requests per service.
	Refused []KeyCount `cbor:"14,keyasint,omitempty"`
	// LoanRequest asks the receiver to lend the sender a part of a retry budget, and
	// Loan is the answer.
	LoanRequest *LoanRequest `cbor:"15,keyasint,omitempty"`
	Loan        *Loan        `cbor:"16,keyasint,omitempty"`
	// Relay is set if the receiver should forward the notice within its zone.
	Relay bool `cbor:"12,keyasint,omitempty"`
}
