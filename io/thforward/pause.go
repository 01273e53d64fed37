package thforward

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thsend"
)

// recordPause records the pause that the target asked for in the attempt's answer, if any. It
// reports whether to log it.
func recordPause(now thclock.Instant, v *thview.View, p thview.Picked, r thsend.Result) bool {
	if r.PauseErr != nil {
		return v.IgnorePause(p)
	}
	return v.Pause(now, p, r.PausedUntil)
}

// logPause logs that the target asked for a pause in an answer, or why what it asked for was
// ignored.
func (f *Forwarder) logPause(p thview.Picked, r thsend.Result) {
	fields := []thevent.Field{thevent.F("target", p.Target.ID), thevent.F("service", p.Target.Service), thevent.F("address", p.Target.Address)}
	if r.PauseErr != nil {
		f.options.Log.Log(thevent.PauseIgnored, append(fields, thevent.F("error", r.PauseErr.Error()))...)
		return
	}
	f.options.Log.Log(thevent.TargetPaused, append(fields, thevent.F("pauseMillis", r.PausedUntil.Sub(f.options.Clock.Now()).Milliseconds()))...)
}
