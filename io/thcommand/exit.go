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

// errPaging ends a report that raises a page, if the operator asked for that.
var errPaging = errors.New("a service-level objective burns fast enough to page")

// ending is how a command ends on an error, and what the operator can do.
type ending struct {
	code   int
	advice string
}

// ExitCode returns the exit code for the error that a command ended with.
func ExitCode(err error) int { return endingOf(err).code }

// PrintError writes the error and what to do about it.
func PrintError(w io.Writer, err error) {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintln(w, "tamarackhollow:", err)
	if advice := endingOf(err).advice; advice != "" {
		_, _ = fmt.Fprintln(w, "  what to do:", advice)
	}
}

func endingOf(err error) ending {
	var u *usageError
	switch {
	case err == nil:
		return ending{ExitOK, ""}
	case errors.Is(err, flag.ErrHelp):
		return ending{ExitUsage, ""}
	case errors.As(err, &u):
		return ending{ExitUsage, "see tamarackhollow <subcommand> -h"}
	case errors.Is(err, errPaging):
		return ending{ExitPaging, "see the report's rows with alerts, and their refusals by kind"}
	}
	return endingOfKind(therror.KindOf(err))
}

func endingOfKind(k therror.Kind) ending {
	switch k {
	case therror.ChangeInvalid, therror.SettingsInvalid, therror.MessageMalformed, therror.MessageTooLarge:
		return ending{ExitInvalid, "correct what the message names"}
	case therror.ConnectFailed, therror.AnswerLost, therror.AnswerLate:
		return ending{ExitUnreachable, "check --operators, or name another VM"}
	case therror.CredentialMissing:
		return ending{ExitCredential, "check the credential against operators.credential in the VM's settings"}
	}
	return ending{ExitFailure, ""}
}
