package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thlog"
	"tamarackhollow/io/thnode"
	"tamarackhollow/platform"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func frontCommand() *ffcli.Command {
	return vmCommand("front", "run one VM's process on the platform until SIGTERM, then drain it", front)
}

// front runs the VM until the context ends, and then drains it.
func front(ctx context.Context, s thsettings.Settings) error {
	bounds, err := platform.ParseBounds(s.Platform.Bounds)
	if err != nil {
		return err
	}
	log := thlog.New(os.Stdout, s.VM.ID)
	store := platform.New(s.Platform.Address, s.LocalIP(), log)
	n, err := thnode.Start(thnode.Options{
		Settings: s, Store: store, StoreCalls: store.Calls, Names: platform.Names(), ReadinessPath: platform.ReadinessPath,
		Budget: bounds.Repeats, FloorShare: bounds.Floor, Grace: bounds.Grace, Log: log,
	})
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-hangups:
			log.Log(thevent.SettingsChanged)
		case <-ctx.Done():
			n.Stop()
			return nil
		}
	}
}
