package main

import (
	"context"
	"flag"
	"os"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/io/thdemo"
	"tamarackhollow/io/thlog"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const defaultDemoDuration = 10 * time.Second

// demoCommand returns the command that runs a fleet on loopback for a while.
func demoCommand() *ffcli.Command {
	fs := flag.NewFlagSet("tamarackhollow demo", flag.ContinueOnError)
	duration := fs.Duration("for", defaultDemoDuration, "how long the callers send requests")
	verbose := fs.Bool("verbose", false, "print the numbered log events to standard error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "tamarackhollow demo [--for 10s] [--verbose]",
		ShortHelp:  "run a small fleet with unhealthy targets on loopback and print the results",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			var log thevent.Logger = thevent.Discard{}
			if *verbose {
				log = thlog.New(os.Stderr, "demo")
			}
			return thdemo.Run(ctx, thdemo.Options{Until: time.Now().Add(*duration), Output: os.Stdout, Log: log})
		},
	}
}
