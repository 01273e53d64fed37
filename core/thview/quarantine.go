package thview

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thquarantine"
)

// sweepEvery is how often quarantines that have expired are forgotten.
const sweepEvery = time.Minute

// Quarantined reports whether the request has crashed so many targets that it
// is not sent any more.
func (v *View) Quarantined(now thclock.Instant, q *thmessage.Request) bool {
	if v.quarantine.Len() == 0 {
		return false
	}
	if now.Sub(v.sweptAt) >= sweepEvery {
		v.quarantine.Sweep(now)
		v.sweptAt = now
	}
	return v.quarantine.IsQuarantined(now, thquarantine.KeyOf(q))
}

// noteDeath takes in what an attempt's end says of a death of its target, and
// tells the others of one.
func (v *View) noteDeath(now thclock.Instant, p Picked, q *thmessage.Request, o thjudge.Outcome) {
	switch o {
	case thjudge.Cut:
		k := thquarantine.KeyOf(q)
		v.quarantine.RecordConnectionClosed(now, k, p.Target.ID, false)
		v.outbox.deaths = append(v.outbox.deaths, thfleet.Death{Customer: k.Customer, Request: k.Hash, Target: p.key})
	case thjudge.Refused:
		v.quarantine.RecordConnectionRefused(now, p.Target.ID)
	case thjudge.Answered:
		if v.quarantine.Len() > 0 {
			v.quarantine.RecordAnswer(now, thquarantine.KeyOf(q))
		}
	default:
		// The others say nothing of a death.
	}
}

// receiveDeaths takes in what another VM saw of deaths.
func (v *View) receiveDeaths(now thclock.Instant, news thfleet.News) {
	for _, d := range news.Deaths {
		if t := v.byKey[d.Target]; t != nil {
			v.quarantine.RecordConnectionClosed(now, thquarantine.Key{Customer: d.Customer, Hash: d.Request}, t.ID, false)
		}
	}
	for _, e := range news.Ends {
		if t := v.byKey[e.Target]; t != nil && e.Outcome == thjudge.Refused {
			v.quarantine.RecordConnectionRefused(now, t.ID)
		}
	}
}
