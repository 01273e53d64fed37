package main

import (
	"context"

	"tamarackhollow/core/thsettings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// vmCommand returns a command that runs a VM's process by its settings until
// the context ends.
func vmCommand(name, help string, run func(context.Context, thsettings.Settings) error) *ffcli.Command {
	r := thsettings.NewReader()
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "tamarackhollow " + name + " --settings vm.toml [flags]",
		ShortHelp:  help,
		FlagSet:    r.FlagSet(),
		Options:    r.Options(),
		Exec: func(ctx context.Context, _ []string) error {
			s, err := r.Settings()
			if err != nil {
				return err
			}
			return run(ctx, s)
		},
	}
}
