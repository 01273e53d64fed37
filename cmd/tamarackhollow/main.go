// Command tamarackhollow runs one VM's process of a proxy fleet for targets with
// gray failures, and provides the operators' commands for the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tamarackhollow/io/thcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := thcommand.Run(ctx, thcommand.StandardStreams(), os.Args[1:], frontCommand(), demoCommand())
	stop()
	os.Exit(code)
}
