// Package thcommand implements the command line of tamarackhollow and its
// operators' subcommands. They print text for people or JSON for programs, and end
// with a documented exit code.
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

// Streams are where commands write their output and their errors.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// StandardStreams returns the standard output and standard error of the process.
func StandardStreams() Streams { return Streams{Out: os.Stdout, Err: os.Stderr} }

// OperatorCommands returns the subcommands check, render, status, report and explain.
func OperatorCommands(s Streams) []*ffcli.Command {
	return []*ffcli.Command{Check(s), Render(s), Status(s), Report(s), Explain(s)}
}

const defaultWaitMillis = 10_000

// remoteCommand holds the streams and flags of a command that queries a VM.
type remoteCommand struct {
	streams    Streams
	operators  string
	credential string
	json       bool
	waitMillis int
}

// newFlagSet returns a flag set with the flags common to commands that query a VM.
func (r *remoteCommand) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("tamarackhollow "+name, flag.ContinueOnError)
	fs.SetOutput(r.streams.Err)
	fs.StringVar(&r.operators, "operators", "", "comma-separated listen.operators addresses (IP:port) of VMs, tried in order until one answers")
	fs.StringVar(&r.credential, "credential", "", "operators' credential; better given in the environment variable "+thsettings.EnvironmentPrefix+"_CREDENTIAL")
	fs.BoolVar(&r.json, "json", false, "print JSON")
	fs.IntVar(&r.waitMillis, "waitMillis", defaultWaitMillis, "longest time to wait for the answer, in milliseconds")
	return fs
}

// flagOptions let environment variables set flags that are not given, such as
// TAMARACKHOLLOW_OPERATORS for --operators.
func flagOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(thsettings.EnvironmentPrefix)}
}

// newClient returns a client for the VMs in --operators, or a usage error if they
// or the credential are missing.
func (r *remoteCommand) newClient() (*thoperator.Client, error) {
	if r.operators == "" {
		return nil, newUsageError("no address of a VM is given: use --operators IP:port or set %s_OPERATORS", thsettings.EnvironmentPrefix)
	}
	if r.credential == "" {
		return nil, newUsageError("no operators' credential is given: set %s_CREDENTIAL", thsettings.EnvironmentPrefix)
	}
	wire := thwire.NewClient(thwire.ClientOptions{Credential: r.credential, From: "operator"})
	return thoperator.NewClient(wire, strings.Split(r.operators, ",")...), nil
}

// withTimeout returns a context that ends after --waitMillis.
func (r *remoteCommand) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(r.waitMillis)*time.Millisecond)
}

// rejectArguments returns a usage error if a command that takes only flags gets
// arguments.
func rejectArguments(args []string, usageLine string) error {
	if len(args) == 0 {
		return nil
	}
	return newUsageError("usage: tamarackhollow %s", usageLine)
}

func newUsageError(format string, a ...any) error { return &usageError{fmt.Sprintf(format, a...)} }

// usageError is a mistake in the command line; it leads to ExitUsage.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }
