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
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitUnreachable = 5
	ExitCredential  = 8
	ExitPaging      = 10
)

// errPageRaised ends a report that raises a page, if the operator asked for that.
var errPageRaised = errors.New("a service-level objective burns fast enough to page")

// exitInfo is how a command ends on an error, and what the operator can do.
type exitInfo struct {
	code   int
	advice string
}

// ExitCode returns the exit code for the error that a command ended with.
func ExitCode(err error) int { return exitInfoFor(err).code }

// PrintError writes the error and what to do about it.
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
		return exitInfo{ExitPaging, "see the report's rows with alerts, and their refusals by kind"}
	}
	return exitInfoForKind(therror.KindOf(err))
}

func exitInfoForKind(k therror.Kind) exitInfo {
	switch k {
	case therror.ChangeInvalid, therror.SettingsInvalid, therror.MessageMalformed, therror.MessageTooLarge:
		return exitInfo{ExitInvalid, "correct what the message names"}
	case therror.ConnectFailed, therror.AnswerLost, therror.AnswerLate:
		return exitInfo{ExitUnreachable, "check --operators, or name another VM"}
	case therror.CredentialMissing:
		return exitInfo{ExitCredential, "check the credential against operators.credential in the VM's settings"}
	}
	return exitInfo{ExitFailure, ""}
}
