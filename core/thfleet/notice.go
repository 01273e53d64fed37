// Package thfleet holds what a VM knows of the other VMs of the fleet, and defines
// the notices that they send each other: requests in flight, results of attempts,
// refused requests, requests for tokens of limits and budgets, and versions of the
// platform's store. It also decides which VM reads the store and which VMs own a
// customer's limit.
//
// A VM is live from its first notice until it leaves or is lost. Each VM probes the few
// VMs that follow it in the order of their keys, and reports those that are silent for
// LiveTimeout to all others as lost. So what VMs send to know of each other does not
// grow with the size of the fleet. A lost VM remains a member of the fleet for a while
// (see MemberTimeout).
package thfleet

import (
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thtable"
)

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

// ReportedLoad passes on what a target said of its load.
type ReportedLoad struct {
	_                       struct{} `cbor:",toarray"`
	Target                  Key
	Running, Waiting, Slots uint16
	// AgeMillis is how long ago the target's answer came.
	AgeMillis uint16
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

// LeavingTarget reports that a target has said that it leaves.
type LeavingTarget struct {
	_      struct{} `cbor:",toarray"`
	Target Key      `json:"target"`
	// StartMillis is the start time of the target's process. A later process with the same
	// ID does not leave.
	StartMillis int64 `json:"start"`
}

// UnknownLatencyRatio is the LatencyRatio of an attempt whose time says nothing about
// the target.
const UnknownLatencyRatio = -128

// KeyCount is a count of requests for one service. In a Notice it is the total since
// the sender's start, in an Update the increase.
type KeyCount struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Count uint32
}

// TokenKind says what tokens are for.
type TokenKind uint8

const (
	// RetryTokens are lent from one VM's part of a service's retry budget to another's.
	RetryTokens TokenKind = iota
	// CustomerTokens are given by the owner of a part of a customer's limit.
	CustomerTokens
	// NoTokens only asks for an answer.
	NoTokens
)

// TokenRequest asks another VM for tokens.
type TokenRequest struct {
	_    struct{} `cbor:",toarray"`
	Kind TokenKind
	// Key names the service or customer, and Part the part of the customer's limit.
	Key  Key
	Part uint8
	// Thousandths is the wanted amount in thousandths of a token.
	Thousandths uint16
	// Number tells the sender's requests apart.
	Number uint32
}

// Tokens is the answer to a TokenRequest.
type Tokens struct {
	_ struct{} `cbor:",toarray"`
	// Thousandths is the amount that is given, 0 if there is nothing left.
	Thousandths uint16
	// RetryAfterMillis is the time after which there may be more.
	RetryAfterMillis uint16
	// NotOwner is set if the VM does not own the part of the customer's limit.
	NotOwner bool
	// Number is the one of the request.
	Number uint32
}

// Loss reports that a VM was silent for LiveTimeout although it was probed.
type Loss struct {
	_  struct{} `cbor:",toarray"`
	VM VMKey
	// StartMillis is the start time of the VM that was lost. The VM may have restarted
	// since.
	StartMillis uint64
}

// StoreVersions tells which routing table, list of targets and orders to evacuate zones a VM has.
// The table is ordered by the operator's version, which does not go back with the store, the list
// and the orders by their positions there.
type StoreVersions struct {
	Table   uint64
	Targets thtable.Position
	// Orders is the zero Position at VMs of older builds, which do not know orders.
	Orders thtable.Position
}

// EraAge tells how long ago the first VM is known to have seen an era of the store.
type EraAge struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Millis uint16
}

// wirePosition is the form of a position in a notice.
type wirePosition struct {
	_       struct{} `cbor:",toarray"`
	Era     uint64
	Version uint64
}

// wireVersions is the form of StoreVersions in a notice, without the era and the orders.
type wireVersions struct {
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
	// ReportedLoads holds what targets of Loads said of their load, if other VMs would expect
	// another one. VMs of older builds do not know it.
	ReportedLoads []ReportedLoad `cbor:"25,keyasint,omitempty"`
	// Identity introduces the sender; nil if the notice does not.
	Identity *Identity `cbor:"8,keyasint,omitempty"`
	// Announced is set by a VM that reads the store or relays what was read; see Versions.
	Announced *wireVersions `cbor:"9,keyasint,omitempty"`
	// AnnouncedEra is the era of the announced list of targets. VMs of older builds do not
	// know it.
	AnnouncedEra uint64 `cbor:"21,keyasint,omitempty"`
	// AnnouncedOrders is the position of the announced orders; nil if there are none. VMs of
	// older builds do not know it.
	AnnouncedOrders *wirePosition `cbor:"23,keyasint,omitempty"`
	// NewEra tells an era of the store that is new; nil if the sender knows of none.
	NewEra *EraAge `cbor:"22,keyasint,omitempty"`
	// ReadAges says how old the announced versions are; nil if both have just been read.
	ReadAges *ReadAges `cbor:"19,keyasint,omitempty"`
	// Leaving is set if the sender leaves the fleet.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// LeavingTargets holds the targets that have said that they leave.
	LeavingTargets []LeavingTarget `cbor:"20,keyasint,omitempty"`
	// WantsIdentity is set if the receiver should answer with its identity.
	WantsIdentity bool    `cbor:"11,keyasint,omitempty"`
	Crashes       []Crash `cbor:"13,keyasint,omitempty"`
	// Refused holds the number of refused requests per service.
	Refused []KeyCount `cbor:"14,keyasint,omitempty"`
	// TokenRequest asks the receiver for tokens, and Tokens is the answer.
	TokenRequest *TokenRequest `cbor:"15,keyasint,omitempty"`
	Tokens       *Tokens       `cbor:"16,keyasint,omitempty"`
	// Lost holds the VMs that the sender found silent.
	Lost []Loss `cbor:"17,keyasint,omitempty"`
	// LiveHash is the hash of the VMs that the sender takes for live; 0 if the notice does
	// not answer a probe.
	LiveHash uint64 `cbor:"18,keyasint,omitempty"`
	// Relay is set if the receiver should forward the notice within its zone.
	Relay bool `cbor:"12,keyasint,omitempty"`
	// Repeated is set if the notice was sent before, with the same sequence number and at least
	// the same results. VMs of older builds do not know it, and do not forward what they had.
	Repeated bool `cbor:"26,keyasint,omitempty"`
}

// ShouldRelay reports whether the receiver of the notice should forward it within its zone, after
// it recorded the notice with the given update. A repeated notice is forwarded by those that had
// it, since others of the zone may have missed it.
func (n Notice) ShouldRelay(u Update) bool {
	return n.Relay && (!u.Duplicate || n.Repeated)
}

// WithVersions returns the notice with versions that its sender announces.
func (n Notice) WithVersions(v StoreVersions) Notice {
	n.Announced, n.AnnouncedEra = &wireVersions{Table: v.Table, Targets: v.Targets.Version}, v.Targets.Era
	n.AnnouncedOrders = nil
	if !v.Orders.IsZero() {
		n.AnnouncedOrders = &wirePosition{Era: v.Orders.Era, Version: v.Orders.Version}
	}
	return n
}

// Versions returns the versions that the sender announces, and false if it announces none.
func (n Notice) Versions() (StoreVersions, bool) {
	if n.Announced == nil {
		return StoreVersions{}, false
	}
	v := StoreVersions{Table: n.Announced.Table, Targets: thtable.Position{Era: n.AnnouncedEra, Version: n.Announced.Targets}}
	if o := n.AnnouncedOrders; o != nil {
		v.Orders = thtable.Position{Era: o.Era, Version: o.Version}
	}
	return v, true
}

// IsForAll reports whether the notice concerns all VMs. Other notices concern only
// the VMs that use the targets that they name.
func (n Notice) IsForAll() bool {
	return n.Identity != nil || n.Leaving || len(n.Crashes) > 0 || len(n.Lost) > 0
}

// endedAttempts returns how many attempts at the target have ended according to the notice.
func (n Notice) endedAttempts(target Key) int {
	ended := 0
	for _, r := range n.Results {
		if r.Target == target && r.Outcome != thhealth.Overdue {
			ended++
		}
	}
	return ended
}
