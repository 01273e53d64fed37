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

// reloadInterval is how often the settings are read again without a signal: they may
// change silently, and reading them takes less than a millisecond.
const reloadInterval = 5 * time.Second

// settingsReloader holds the settings in force.
type settingsReloader struct {
	settings thsettings.Settings
	log      thevent.Logger
	apply    func(thnode.Rules)
	// problem is why the settings that were last read do not check.
	problem string
}

// run takes changed settings into effect until the context ends: at SIGHUP,
// and without a signal a little later.
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

// reload reads the settings again. Settings that do not check change nothing.
func (r *settingsReloader) reload() {
	changed, err := thsettings.Parse(os.Args[2:])
	if err == nil && reflect.DeepEqual(changed, r.settings) {
		r.problem = ""
		return
	}
	var live thnode.Rules
	if err == nil {
		live, err = liveSettings(changed)
	}
	if err != nil {
		r.logProblem(err)
		return
	}
	r.apply(live)
	r.log.Log(thevent.SettingsChanged, thevent.F("needRestart", strings.Join(r.settings.NeedRestart(changed), ",")))
	r.settings, r.problem = changed, ""
}

// logProblem logs a problem once.
func (r *settingsReloader) logProblem(err error) {
	if r.problem != err.Error() {
		r.log.Log(thevent.SettingsRefused, thevent.F("error", err.Error()))
	}
	r.problem = err.Error()
}
