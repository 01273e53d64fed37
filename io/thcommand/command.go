// Package thcommand holds the operators' subcommands of tamarackhollow. Each
// prints a table for people, or JSON for programs, and ends with a documented
// exit code.
package thcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thwire"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Streams are what the commands read and write.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// StandardStreams returns the process's own streams.
func StandardStreams() Streams { return Streams{Out: os.Stdout, Err: os.Stderr} }

// OperatorCommands returns the operators' subcommands.
func OperatorCommands(s Streams) []*ffcli.Command {
	return []*ffcli.Command{Check(s), Render(s), Status(s), Report(s)}
}

const defaultWaitMillis = 10_000

// remoteCommand holds the flags of the commands that talk to a VM.
type remoteCommand struct {
	streams    Streams
	operators  string
	credential string
	json       bool
	waitMillis int
}

// newFlagSet returns a flag set with the flags of a command that talks to a VM.
func (r *remoteCommand) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("tamarackhollow "+name, flag.ContinueOnError)
	fs.SetOutput(r.streams.Err)
	fs.StringVar(&r.operators, "operators", "", "VMs' listeners for operators, IP:port separated by commas")
	fs.StringVar(&r.credential, "credential", "", "credential of operators; better given as "+thsettings.EnvironmentPrefix+"_CREDENTIAL")
	fs.BoolVar(&r.json, "json", false, "print JSON for programs")
	fs.IntVar(&r.waitMillis, "waitMillis", defaultWaitMillis, "longest wait for the answer, in milliseconds")
	return fs
}

// flagOptions read the flags from the environment too.
func flagOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(thsettings.EnvironmentPrefix)}
}

func (r *remoteCommand) newClient() (*thoperator.Client, error) {
	if r.operators == "" {
		return nil, newUsageError("no VM is named: give --operators IP:port or set %s_OPERATORS", thsettings.EnvironmentPrefix)
	}
	if r.credential == "" {
		return nil, newUsageError("no credential: set %s_CREDENTIAL", thsettings.EnvironmentPrefix)
	}
	wire := thwire.NewClient(thwire.ClientOptions{Credential: r.credential, From: "operator"})
	return thoperator.NewClient(wire, strings.Split(r.operators, ",")...), nil
}

// withTimeout returns a context that ends after the longest wait.
func (r *remoteCommand) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(r.waitMillis)*time.Millisecond)
}

// rejectArguments refuses arguments of a command that takes flags only.
func rejectArguments(args []string, usageLine string) error {
	if len(args) == 0 {
		return nil
	}
	return newUsageError("usage: tamarackhollow %s", usageLine)
}

func newUsageError(format string, a ...any) error { return &usageError{fmt.Sprintf(format, a...)} }

type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }
