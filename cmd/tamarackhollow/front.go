package main

import (
	"context"
	"os"

	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thlog"
	"tamarackhollow/io/thnode"
	"tamarackhollow/platform"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// frontCommand returns the command that runs one VM's process.
func frontCommand() *ffcli.Command {
	loader := thsettings.NewLoader()
	return &ffcli.Command{
		Name:       "front",
		ShortUsage: "tamarackhollow front --settings vm.toml [flags]",
		ShortHelp:  "run one VM's process on the platform until SIGTERM, then drain it",
		FlagSet:    loader.FlagSet(),
		Options:    loader.Options(),
		Exec: func(ctx context.Context, _ []string) error {
			s, err := loader.Settings()
			if err != nil {
				return err
			}
			return runFront(ctx, s)
		},
	}
}

// runFront runs the VM's process until the context ends and then drains it.
func runFront(ctx context.Context, s thsettings.Settings) error {
	live, err := liveSettings(s)
	if err != nil {
		return err
	}
	log := thlog.New(os.Stdout, s.VM.ID)
	store := platform.NewClient(s.Platform.Address, s.LocalIP(), log)
	n, err := thnode.Start(thnode.Options{
		Settings: s, LiveSettings: live, Store: store, StoreCalls: store.CallCounts, HeaderNames: platform.HeaderNames(),
		ReadinessPath: platform.ReadinessPath, Log: log,
	})
	if err != nil {
		return err
	}
	reloader := settingsReloader{settings: s, log: log, apply: n.ApplyLiveSettings}
	reloader.run(ctx)
	n.Stop()
	return nil
}

// liveSettings returns the settings that can change while the VM runs.
func liveSettings(s thsettings.Settings) (thnode.LiveSettings, error) {
	bounds, err := platform.ParseBounds(s.Platform.Bounds)
	return thnode.LiveSettings{
		RetryBudget: bounds.RetryBudget, FloorShare: bounds.FloorShare, GracePeriod: bounds.GracePeriod,
		Seeds: s.Peers.Seeds, MemoryMegabytes: s.VM.MemoryMegabytes, MaxConnections: s.Listen.MaxConnections,
	}, err
}
