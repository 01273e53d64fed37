package thcommand

import (
	"context"

	"tamarackhollow/core/thconfig"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Drain marks a target as leaving.
func Drain(s Streams) *ffcli.Command {
	c := &changer{remote: remote{streams: s}, yes: true}
	fs := c.flagSet("drain")
	c.repeatFlags(fs)
	undo := fs.Bool("undo", false, "give the target work again")
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "tamarackhollow drain [flags] SERVICE ADDRESS",
		ShortHelp:  "mark a target as leaving, so that it gets no new work",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 2, 2, "drain [flags] SERVICE ADDRESS"); err != nil {
				return err
			}
			t := thconfig.Target{Address: args[1], Leaving: !*undo}
			return c.make(ctx, c.changeID, thconfig.SetTarget{Service: args[0], Target: t})
		},
	}
}
