package thgossip

import (
	"math/rand/v2"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thview"
)

// probeLoop probes other VMs until Close, and reports those that are lost to all.
func (x *Exchange) probeLoop() {
	ticker := time.NewTicker(thfleet.ProbeInterval)
	defer ticker.Stop()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		select {
		case <-x.done:
			return
		case <-ticker.C:
			x.probe(rng)
		}
	}
}

// probe asks the VMs that this one has to probe for an answer, and one of those that are
// not live, in case there is a path to it again.
func (x *Exchange) probe(rng *rand.Rand) {
	var lost []thfleet.Peer
	x.send(func(now thclock.Instant, v *thview.View) (thfleet.Notice, []thfleet.Peer) {
		var to []thfleet.Peer
		to, lost = v.Probe(now)
		if p, ok := v.Fleet.RandomSilentPeer(rng); ok {
			to = append(to, p)
		}
		return v.Introduction(true), to
	})
	if len(lost) == 0 {
		return
	}
	for _, p := range lost {
		x.options.Log.Log(thevent.VMLost, thevent.F("peer", p.Identity.ID), thevent.F("zone", p.Identity.Zone))
	}
	x.Wake()
	time.AfterFunc(lossRepeatDelay, func() { x.reportStillLost(lost) })
}

// reportStillLost reports those of the lost VMs again that were not heard since.
func (x *Exchange) reportStillLost(lost []thfleet.Peer) {
	x.options.LockedView.WithView(func(_ thclock.Instant, v *thview.View) { v.RepeatLosses(lost) })
	x.Wake()
}
