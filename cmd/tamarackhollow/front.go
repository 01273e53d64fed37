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

// frontCommand runs a VM's process by its settings until the context ends.
func frontCommand() *ffcli.Command {
	r := thsettings.NewReader()
	return &ffcli.Command{
		Name:       "front",
		ShortUsage: "tamarackhollow front --settings vm.toml [flags]",
		ShortHelp:  "run one VM's process on the platform until SIGTERM, then drain it",
		FlagSet:    r.FlagSet(),
		Options:    r.Options(),
		Exec: func(ctx context.Context, _ []string) error {
			s, err := r.Settings()
			if err != nil {
				return err
			}
			return front(ctx, s)
		},
	}
}

// front runs the VM until the context ends, and then drains it.
func front(ctx context.Context, s thsettings.Settings) error {
	rules, err := rulesOf(s)
	if err != nil {
		return err
	}
	log := thlog.New(os.Stdout, s.VM.ID)
	store := platform.NewClient(s.Platform.Address, s.LocalIP(), log)
	n, err := thnode.Start(thnode.Options{
		Settings: s, Rules: rules, Store: store, StoreCalls: store.CallCounts, Names: platform.HeaderNames(),
		ReadinessPath: platform.ReadinessPath, Log: log,
	})
	if err != nil {
		return err
	}
	f := follower{settings: s, log: log, adopt: n.Adopt}
	f.follow(ctx)
	n.Stop()
	return nil
}

// rulesOf returns what may change while the VM runs.
func rulesOf(s thsettings.Settings) (thnode.Rules, error) {
	bounds, err := platform.ParseBounds(s.Platform.Bounds)
	return thnode.Rules{
		Budget: bounds.RetryBudget, FloorShare: bounds.Floor, Grace: bounds.GracePeriod,
		Seeds: s.Peers.Seeds, MemoryMegabytes: s.VM.MemoryMegabytes,
	}, err
}
