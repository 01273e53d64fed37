package thcommand

import (
	"context"
	"flag"

	"tamarackhollow/core/therror"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Run runs the subcommand that the arguments name and returns the exit code. It
// knows the operators' subcommands and the extra ones given. Errors go to s.Err.
func Run(ctx context.Context, s Streams, args []string, extra ...*ffcli.Command) int {
	fs := flag.NewFlagSet("tamarackhollow", flag.ContinueOnError)
	fs.SetOutput(s.Err)
	root := &ffcli.Command{
		ShortUsage:  "tamarackhollow <subcommand> [flags]",
		FlagSet:     fs,
		Subcommands: append(extra, OperatorCommands(s)...),
	}
	root.Exec = func(_ context.Context, rest []string) error {
		if len(rest) > 0 {
			return newUsageError("unknown subcommand %q", rest[0])
		}
		fs.Usage()
		return flag.ErrHelp
	}
	err := parseArgs(root, args)
	if err == nil {
		err = root.Run(ctx)
	}
	PrintError(s.Err, err)
	return ExitCode(err)
}

// parseArgs parses the command line. An error in it becomes a usage error, except
// a SettingsInvalid error, which is returned as it is because it already names the
// setting.
func parseArgs(root *ffcli.Command, args []string) error {
	err := root.Parse(args)
	if err == nil || errors.Is(err, flag.ErrHelp) || therror.Is(err, therror.SettingsInvalid) {
		return err
	}
	return newUsageError("%v", err)
}
