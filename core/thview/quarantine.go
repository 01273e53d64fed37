package thview

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thquarantine"
)

// sweepInterval is how often expired suspects are removed from the quarantine
// table.
const sweepInterval = time.Minute

// IsQuarantined reports whether the request is quarantined, that is, has crashed
// so many targets that it must not be sent any more.
func (v *View) IsQuarantined(now thclock.Instant, request *thmessage.Request) bool {
	if v.quarantine.Len() == 0 {
		return false
	}
	if now.Sub(v.sweptAt) >= sweepInterval {
		v.quarantine.Sweep(now)
		v.sweptAt = now
	}
	return v.quarantine.IsQuarantined(now, thquarantine.KeyOf(request))
}

// recordCrashEvidence records what an attempt's outcome says about a crash of its
// target. If the target closed the connection, the next notice reports it to the
// other VMs.
func (v *View) recordCrashEvidence(now thclock.Instant, p Picked, request *thmessage.Request, o thhealth.Outcome) {
	switch o {
	case thhealth.ConnectionClosed:
		k := thquarantine.KeyOf(request)
		v.quarantine.RecordConnectionClosed(now, k, p.Target.ID, false)
		v.outbox.crashes = append(v.outbox.crashes, thfleet.Crash{Customer: k.Customer, Request: k.Hash, Target: p.key})
	case thhealth.ConnectionRefused:
		v.quarantine.RecordConnectionRefused(now, p.Target.ID)
	case thhealth.Answered:
		if v.quarantine.Len() > 0 {
			v.quarantine.RecordAnswer(now, thquarantine.KeyOf(request))
		}
	default:
		// The other outcomes say nothing about a crash.
	}
}

// receiveCrashEvidence records what another VM observed about crashes of targets.
func (v *View) receiveCrashEvidence(now thclock.Instant, update thfleet.Update) {
	for _, c := range update.Crashes {
		if t := v.targetsByKey[c.Target]; t != nil {
			v.quarantine.RecordConnectionClosed(now, thquarantine.Key{Customer: c.Customer, Hash: c.Request}, t.ID, false)
		}
	}
	for _, r := range update.Results {
		if t := v.targetsByKey[r.Target]; t != nil && r.Outcome == thhealth.ConnectionRefused {
			v.quarantine.RecordConnectionRefused(now, t.ID)
		}
	}
}
