package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"syscall"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thnode"
)

// reloadInterval is how often the settings are read again without a signal, since
// they can change without one. Reading them takes less than a millisecond.
const reloadInterval = 5 * time.Second

// settingsReloader applies changed settings to a running VM.
type settingsReloader struct {
	// settings are the valid ones last read; some of them may take effect only at
	// a restart.
	settings thsettings.Settings
	log      thevent.Logger
	apply    func(thnode.LiveSettings)
	// problem is the error in the settings that were last read, empty if there was
	// none.
	problem string
}

// run reloads the settings at each SIGHUP and every reloadInterval until the
// context ends.
func (r *settingsReloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		r.reload()
	}
}

// reload reads the settings again, applies what can change while the VM runs and
// logs which changed settings need a restart. Invalid settings change nothing.
func (r *settingsReloader) reload() {
	// The first two arguments are the program and the command front.
	changed, err := thsettings.Parse(os.Args[2:])
	if err == nil && reflect.DeepEqual(changed, r.settings) {
		r.problem = ""
		return
	}
	var live thnode.LiveSettings
	if err == nil {
		live, err = liveSettings(changed)
	}
	if err != nil {
		r.logProblem(err)
		return
	}
	r.apply(live)
	r.log.Log(thevent.SettingsChanged, thevent.F("needRestart", strings.Join(r.settings.DiffRequiringRestart(changed), ",")))
	r.settings, r.problem = changed, ""
}

// logProblem logs an error in the settings unless the last reading had the same.
func (r *settingsReloader) logProblem(err error) {
	if r.problem != err.Error() {
		r.log.Log(thevent.SettingsRefused, thevent.F("error", err.Error()))
	}
	r.problem = err.Error()
}
