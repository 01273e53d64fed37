package thlimit

import (
	"time"

	"tamarackhollow/core/throster"
)

// Ask is a spender's call for tokens of one part.
type Ask struct {
	Part Part `json:"part"`
	// Number identifies the ask, and the lot given for it, among all asks of
	// this incarnation of the spender for this part.
	Number uint64 `json:"number"`
	// Need is how many requests are waiting.
	Need int `json:"need"`
	// Advance is how many tokens the spender would like beyond the need.
	Advance int `json:"advance,omitempty"`
	// Reports tell of earlier lots of the part.
	Reports []Report `json:"reports,omitempty"`
}

// Report tells a home what became of one lot. Reports may be repeated, lost
// and reordered.
type Report struct {
	Part   Part   `json:"part"`
	Number uint64 `json:"number"`
	// Spent counts the lot's tokens that have been spent so far.
	Spent int `json:"spent"`
	// Done promises that no more of the lot will be spent.
	Done bool `json:"done,omitempty"`
}

// Status says how a home took an ask.
type Status string

// The statuses of a grant.
const (
	// StatusGranted comes with a lot.
	StatusGranted Status = "granted"
	// StatusShort says that the part has no token now.
	StatusShort Status = "short"
	// StatusNotHome says that the asked VM keeps no such part, or not yet.
	StatusNotHome Status = "notHome"
)

// Grant is a home's answer to an ask.
type Grant struct {
	Status Status `json:"status"`
	Number uint64 `json:"number"`
	Tokens int    `json:"tokens,omitempty"`
	// LifeMillis is how long after the ask was made the lot may be spent.
	LifeMillis int `json:"lifeMillis,omitempty"`
	// Level is what the part has left.
	Level int `json:"level,omitempty"`
	// WaitMillis is when it makes sense to ask again.
	WaitMillis int `json:"waitMillis,omitempty"`
	// Tight asks for a report as soon as the lot is spent, because the part can
	// hardly refill before.
	Tight bool `json:"tight,omitempty"`
	// Recalled says that the part is short, but is fetching tokens back that
	// other VMs hold in advance.
	Recalled bool `json:"recalled,omitempty"`
	// Home comes with StatusNotHome if the part was handed over to that VM.
	Home *throster.VM `json:"home,omitempty"`
}

const (
	// needLife is the life of a lot that only serves waiting requests.
	needLife = 120 * time.Millisecond
	// advanceLife is the life of a lot that holds tokens for later requests.
	advanceLife = 2 * time.Second
	// driftShare is the share by which two VMs' clocks may differ in speed.
	driftShare = 0.02
)

// LotLife is the longest time from a home's answer until the lot's end is
// sure, clock drift included.
const LotLife = advanceLife + time.Duration(driftShare*float64(advanceLife))

func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(driftShare*float64(d))
}

func millis(d time.Duration) int { return int(d / time.Millisecond) }

// millisUp rounds up, so that nobody asks again too early.
func millisUp(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

func fromMillis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
