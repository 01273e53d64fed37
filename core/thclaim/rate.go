package thclaim

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// rateWindow is the time over which a VM's rate of writes fades.
	rateWindow = 2 * time.Second
	// gatherFrom is the rate of the fleet's writes, in writes a second, from
	// which they are gathered at a home. Below it, the way round costs more
	// than the transactions that it saves.
	gatherFrom = 100.0
	// homes is the number of VMs at which writes are gathered. Each has one
	// transaction under way at a time, which bounds what all claims together
	// ask of the store.
	homes = 2
)

// Rate is a fading count of a VM's writes. It is immutable; the zero Rate is
// of none.
type Rate struct {
	count float64
	at    thclock.Instant
}

// WithWrite returns the rate after one more write.
func (r Rate) WithWrite(now thclock.Instant) Rate {
	return Rate{count: r.faded(now) + 1, at: now}
}

func (r Rate) faded(now thclock.Instant) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}

// Gather reports whether the fleet, if every VM writes as this one does,
// writes enough for the writes to be gathered.
func (r Rate) Gather(now thclock.Instant, vms int) bool {
	return r.faded(now)/rateWindow.Seconds()*float64(vms) >= gatherFrom
}

// Home returns the name by which the VM is found that gathers the row's writes.
func Home(key string) string {
	part := 0
	if len(key) > len(KeyPrefix) {
		part = int(key[len(KeyPrefix)]) % homes
	}
	return KeyPrefix + string(rune('0'+part))
}
