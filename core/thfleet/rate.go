package thfleet

import (
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// bytesPerSecond is the rate at which a VM's notices may use the network: the
	// two-year target for control traffic.
	bytesPerSecond = 27_000
	// burstBytes is how many bytes may be sent at once above that rate, and
	// urgentBytes how many more if the notice contains evidence against a target.
	burstBytes  = 27_000
	urgentBytes = 27_000
	// spareBytes is how many bytes have to be left for a notice that is sent again, so that it
	// does not hold back new ones.
	spareBytes = burstBytes / 2
	// HeaderBytes is the size of a datagram's IPv4 and UDP headers.
	HeaderBytes = 28
)

// SendRate limits the bytes of a VM's own notices. A VM is charged for all copies of
// its notices, also for those that relays send, and not for what it relays for
// others. So the VMs together stay within the rate of all of them, while no VM's own
// notices have to wait because it relays many others. It is immutable; the zero value
// may send.
type SendRate struct {
	// bytesLeft is how many bytes could be sent at refilledAt; negative if more were.
	bytesLeft  float64
	refilledAt thclock.Instant
}

// refilled returns the rate with the bytes added until now.
func (r SendRate) refilled(now thclock.Instant) SendRate {
	elapsed := max(0, now.Sub(r.refilledAt)).Seconds()
	return SendRate{bytesLeft: min(burstBytes, r.bytesLeft+elapsed*bytesPerSecond), refilledAt: now}
}

// WithSent returns the rate after a notice of the given length was sent in that many
// datagrams, those of relays included.
func (r SendRate) WithSent(now thclock.Instant, length, datagrams int) SendRate {
	r = r.refilled(now)
	r.bytesLeft -= float64((length + HeaderBytes) * datagrams)
	return r
}

// MaySend reports whether a notice may be sent now.
func (r SendRate) MaySend(now thclock.Instant, urgent bool) bool {
	left := r.refilled(now).bytesLeft
	return left > 0 || urgent && left > -urgentBytes
}

// NextAt returns when the next notice that is not urgent may be sent.
func (r SendRate) NextAt(now thclock.Instant) thclock.Instant {
	r = r.refilled(now)
	return now.Add(time.Duration(max(0, -r.bytesLeft) / bytesPerSecond * float64(time.Second)))
}

// SpareAt returns when a notice that was sent before may be sent again.
func (r SendRate) SpareAt(now thclock.Instant) thclock.Instant {
	r = r.refilled(now)
	return now.Add(time.Duration(max(0, spareBytes-r.bytesLeft) / bytesPerSecond * float64(time.Second)))
}
