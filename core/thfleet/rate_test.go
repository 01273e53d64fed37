package thfleet_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"

	"gotest.tools/v3/assert"
)

// controlBytesPerSecond is the two-year target for what a VM sends to control the
// fleet.
const controlBytesPerSecond = 27_000

// A VM that always has a notice to send must stay within the target on average, and
// must never have to wait longer than its own notices' bytes take.
func TestSendRateSpreadsOwnNotices(t *testing.T) {
	const length, datagrams, seconds = 72, 109, 60 // a notice of 100 bytes with its headers to 109 VMs
	var rate thfleet.SendRate
	sent := 0
	var longestWait, waitedSince time.Duration
	for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
		if !rate.MaySend(at(now), false) {
			continue
		}
		rate = rate.WithSent(at(now), length, datagrams)
		sent++
		longestWait, waitedSince = max(longestWait, now-waitedSince), now
	}
	bytes := float64(sent * (length + 28) * datagrams)
	assert.Assert(t, bytes <= controlBytesPerSecond*(seconds+2), "%.0f bytes", bytes)
	assert.Assert(t, bytes >= controlBytesPerSecond*(seconds-2), "%.0f bytes", bytes)
	assert.Assert(t, longestWait <= time.Second, "a notice waited for %s", longestWait)
}

// Evidence against a target may be sent although the rate is used up, but not without
// end.
func TestSendRateLetsUrgentNoticesGoFirst(t *testing.T) {
	var rate thfleet.SendRate
	now := at(0)
	for rate.MaySend(now, false) {
		rate = rate.WithSent(now, 100, 100)
	}
	assert.Assert(t, rate.MaySend(now, true))
	urgent := 0
	for ; rate.MaySend(now, true); urgent++ {
		rate = rate.WithSent(now, 100, 100)
	}
	assert.Assert(t, urgent <= 3, "%d urgent notices", urgent)
	next := rate.NextAt(now)
	assert.Assert(t, !rate.MaySend(thclock.Instant{Mono: next.Mono - time.Millisecond}, false))
	assert.Assert(t, rate.MaySend(next.Add(time.Millisecond), false))
}

// The sender pays for what relays send for it.
func TestRelayedDatagramsCountsLiveVMsOfRelaysZones(t *testing.T) {
	f := thfleet.New(identity(0))
	for i := 1; i <= 12; i++ {
		n := notice(i, 1)
		n.Identity.Zone = []string{"z", "y", "x"}[i%3]
		f.Receive(at(0), n)
	}
	_, relays := f.SelectRecipients(f.Live(), 1, false)
	assert.Equal(t, len(relays), 2)
	assert.Equal(t, f.RelayedDatagrams(f.Live(), relays), 6)
	_, relays = f.SelectRecipients(f.Live(), 1, true)
	assert.Equal(t, f.RelayedDatagrams(f.Live(), relays), 12)
}
