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

// lookEvery is how often the settings are read again without a signal: they may
// change silently, and reading them takes less than a millisecond.
const lookEvery = 5 * time.Second

// follower holds the settings in force.
type follower struct {
	settings thsettings.Settings
	log      thevent.Logger
	adopt    func(thnode.LiveSettings)
	// problem is why the settings that were last read do not check.
	problem string
}

// follow takes changed settings into effect until the context ends: at SIGHUP,
// and without a signal a little later.
func (f *follower) follow(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	look := time.NewTicker(lookEvery)
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
func (f *follower) reload() {
	changed, err := thsettings.Parse(os.Args[2:])
	if err == nil && reflect.DeepEqual(changed, f.settings) {
		f.problem = ""
		return
	}
	var rules thnode.LiveSettings
	if err == nil {
		rules, err = rulesOf(changed)
	}
	if err != nil {
		f.refuse(err)
		return
	}
	f.adopt(rules)
	f.log.Log(thevent.SettingsChanged, thevent.F("needRestart", strings.Join(f.settings.DiffRequiringRestart(changed), ",")))
	f.settings, f.problem = changed, ""
}

// refuse logs a problem once.
func (f *follower) refuse(err error) {
	if f.problem != err.Error() {
		f.log.Log(thevent.SettingsRefused, thevent.F("error", err.Error()))
	}
	f.problem = err.Error()
}
