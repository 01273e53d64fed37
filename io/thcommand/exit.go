package thcommand

import (
	"flag"
	"fmt"
	"io"

	"tamarackhollow/core/therror"

	"github.com/cockroachdb/errors"
)

// The exit codes. docs/OPERATIONS.md explains them.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means an error that has no code of its own.
	ExitFailure = 1
	// ExitUsage means a mistake in the command line, or that help was printed.
	ExitUsage = 2
	// ExitInvalid means invalid settings, templates, deployments or messages.
	ExitInvalid = 3
	// ExitUnreachable means that no VM answered in time.
	ExitUnreachable = 5
	// ExitCredential means that a VM rejected the credential.
	ExitCredential = 8
	// ExitPaging means that a report with --exitCode contains an alert that pages.
	ExitPaging = 10
	// ExitRefused means that the request that explain was asked about would be refused.
	ExitRefused = 11
)

// errWouldRefuse is returned by the explain command for a request that would be refused.
var errWouldRefuse = errors.New("the request would be refused")

// errPageRaised is returned by the report command with --exitCode if the report
// contains an alert that pages.
var errPageRaised = errors.New("the error budget of a service-level objective burns fast enough to page")

// exitInfo holds the exit code for an error and advice for the operator, which may
// be empty.
type exitInfo struct {
	code   int
	advice string
}

// ExitCode returns the exit code for the error that a command returned; nil gives
// ExitOK.
func ExitCode(err error) int { return exitInfoFor(err).code }

// PrintError writes the error and advice on what to do about it. It writes nothing
// for nil, and for flag.ErrHelp, since the help has been printed already.
func PrintError(w io.Writer, err error) {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintln(w, "tamarackhollow:", err)
	if advice := exitInfoFor(err).advice; advice != "" {
		_, _ = fmt.Fprintln(w, "  what to do:", advice)
	}
}

func exitInfoFor(err error) exitInfo {
	var u *usageError
	switch {
	case err == nil:
		return exitInfo{ExitOK, ""}
	case errors.Is(err, flag.ErrHelp):
		return exitInfo{ExitUsage, ""}
	case errors.As(err, &u):
		return exitInfo{ExitUsage, "see tamarackhollow <subcommand> -h"}
	case errors.Is(err, errPageRaised):
		return exitInfo{ExitPaging, "look at the report's rows with alerts and at their refusals by kind"}
	case errors.Is(err, errWouldRefuse):
		return exitInfo{ExitRefused, ""}
	}
	return exitInfoForKind(therror.KindOf(err))
}

func exitInfoForKind(k therror.Kind) exitInfo {
	switch k {
	case therror.ChangeInvalid, therror.SettingsInvalid, therror.MessageMalformed, therror.MessageTooLarge:
		return exitInfo{ExitInvalid, "correct the file, setting or value that the message names"}
	case therror.ConnectFailed, therror.AnswerLost, therror.AnswerLate:
		return exitInfo{ExitUnreachable, "check --operators, or give the address of another VM"}
	case therror.CredentialMissing:
		return exitInfo{ExitCredential, "check the credential against operators.credential in the VM's settings"}
	}
	return exitInfo{ExitFailure, ""}
}
