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
func (f *settingsReloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	look := time.NewTicker(reloadInterval)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-look.C:
		}
		f.reload()
	}
}

// reload reads the settings again. Settings that do not check change nothing.
func (f *settingsReloader) reload() {
	changed, err := thsettings.Parse(os.Args[2:])
	if err == nil && reflect.DeepEqual(changed, f.settings) {
		f.problem = ""
		return
	}
	var rules thnode.Rules
	if err == nil {
		rules, err = liveSettings(changed)
	}
	if err != nil {
		f.logProblem(err)
		return
	}
	f.apply(rules)
	f.log.Log(thevent.SettingsChanged, thevent.F("needRestart", strings.Join(f.settings.NeedRestart(changed), ",")))
	f.settings, f.problem = changed, ""
}

// logProblem logs a problem once.
func (f *settingsReloader) logProblem(err error) {
	if f.problem != err.Error() {
		f.log.Log(thevent.SettingsRefused, thevent.F("error", err.Error()))
	}
	f.problem = err.Error()
}
