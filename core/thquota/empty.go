package thquota

import (
	"maps"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
)

const (
	// maxEmptyParts bounds the memory of EmptyParts, to about 300 KB. More customers
	// than that are not above their limits at one VM at once.
	maxEmptyParts = 4096
	// emptyPartsSweepInterval bounds the time that EmptyParts takes while it is full.
	emptyPartsSweepInterval = time.Second
)

// EmptyParts holds, for parts of customers' limits, until when their owners have no tokens.
// It responds to customers above their limits: their requests are refused without a question
// to an owner. It takes bounded memory. The zero EmptyParts holds nothing. It is not safe for
// concurrent use.
type EmptyParts struct {
	parts   map[emptyPartKey]emptyPart
	sweptAt thclock.Instant
}

type emptyPartKey struct {
	customer thfleet.Key
	part     uint8
}

type emptyPart struct {
	owner thfleet.VMKey
	until thclock.Instant
}

// Record records that the owner of a part has no token until the given time. A part of
// another customer is left out if there are too many.
func (e *EmptyParts) Record(now thclock.Instant, customer thfleet.Key, part uint8, owner thfleet.VMKey, until thclock.Instant) {
	if e.parts == nil {
		e.parts = make(map[emptyPartKey]emptyPart)
	}
	k := emptyPartKey{customer, part}
	if _, ok := e.parts[k]; !ok && len(e.parts) >= maxEmptyParts && !e.sweep(now) {
		return
	}
	e.parts[k] = emptyPart{owner: owner, until: until}
}

// sweep drops the parts whose time has passed, and reports whether there is room for more.
func (e *EmptyParts) sweep(now thclock.Instant) bool {
	if now.Sub(e.sweptAt) >= emptyPartsSweepInterval {
		e.sweptAt = now
		maps.DeleteFunc(e.parts, func(_ emptyPartKey, p emptyPart) bool { return !now.Before(p.until) })
	}
	return len(e.parts) < maxEmptyParts
}

// Until returns until when the owner of a part has no tokens, and false if that is not
// known or the time has passed. What another owner has said does not count.
func (e *EmptyParts) Until(now thclock.Instant, customer thfleet.Key, part uint8, owner thfleet.VMKey) (thclock.Instant, bool) {
	p, ok := e.parts[emptyPartKey{customer, part}]
	return p.until, ok && p.owner == owner && now.Before(p.until)
}
