package thhealth

import (
	"time"

	"tamarackhollow/core/thclock"
)

// Pacer decides when a VM exchanges observations, so that bad news travels at
// once and the traffic stays within a budget. The zero Pacer has its credit
// used up.
type Pacer struct {
	credit float64
	at     thclock.Instant
	last   thclock.Instant
}

const (
	// paceRate is in bytes a second, for the exchanges that the VM begins. It
	// takes part in as many again that others begin.
	paceRate = 2800
	paceMax  = 24000 // bytes
	// callBytes is about what a call and its answer weigh besides the cells.
	callBytes = 600
	// quietPause is between exchanges without urgent news.
	quietPause = time.Second
)

// Next returns the pacer at the present moment, and whether an exchange is due.
func (p Pacer) Next(now thclock.Instant, urgent bool) (Pacer, bool) {
	p.credit = min(paceMax, p.credit+paceRate*now.Sub(p.at).Seconds())
	p.at = now
	if p.credit < callBytes || !urgent && now.Sub(p.last) < quietPause {
		return p, false
	}
	p.last = now
	return p, true
}

// WithExchange returns the pacer after a call that carried the given bytes.
func (p Pacer) WithExchange(bytes int) Pacer {
	p.credit -= callBytes + float64(bytes)
	return p
}
