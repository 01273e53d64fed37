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
	ExitDone        = 0
	ExitFault       = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
	ExitSpreading   = 6
	ExitUnknown     = 7
	ExitCredential  = 8
	ExitDeclined    = 9
	ExitPaging      = 10
)

// errSpreading ends a command whose change is stored but not yet accepted.
var errSpreading = errors.New("the change is stored but not yet known to a majority of the VMs")

// errPaging ends a report that raises a page, if the operator asked for that.
var errPaging = errors.New("a service-level objective burns fast enough to page")

// errDeclined ends a command that the operator did not confirm.
var errDeclined = errors.New("not confirmed, nothing was changed")

// ending is how a command ends on an error, and what the operator can do.
type ending struct {
	code   int
	advice string
}

// Code returns the exit code for the error that a command ended with.
func Code(err error) int { return endingOf(err).code }

// Explain writes the error and what to do about it.
func Explain(w io.Writer, err error) {
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
		return ending{ExitDone, ""}
	case errors.Is(err, flag.ErrHelp):
		return ending{ExitUsage, ""}
	case errors.As(err, &u):
		return ending{ExitUsage, "see tamarackhollow <subcommand> -h"}
	case errors.Is(err, errSpreading):
		return ending{ExitSpreading, "nothing is lost; watch tamarackhollow status until every VM shows the version"}
	case errors.Is(err, errPaging):
		return ending{ExitPaging, "see the report's rows with alerts, and their refusals by kind"}
	case errors.Is(err, errDeclined):
		return ending{ExitDeclined, "run it again with --yes, or answer y"}
	}
	return endingOfKind(therror.KindOf(err))
}

func endingOfKind(k therror.Kind) ending {
	switch k {
	case therror.ChangeInvalid, therror.SettingsInvalid, therror.MessageMalformed, therror.MessageTooLarge:
		return ending{ExitInvalid, "correct what the message names; nothing was changed"}
	case therror.NotFound:
		return ending{ExitInvalid, "list what there is with tamarackhollow get"}
	case therror.ChangeConflict:
		return ending{ExitConflict, "another operator's change won; look at the new differences and run it again"}
	case therror.ConnectFailed, therror.NotReady, therror.Draining:
		return ending{ExitUnreachable, "nothing was changed; check --operators, or name another VM"}
	case therror.StoreUnavailable:
		return ending{ExitUnreachable, "nothing was changed; changes wait until the platform's store answers"}
	case therror.AnswerLost, therror.AnswerLate, therror.AnswerBroken, therror.StoreOutcomeUnknown:
		return ending{ExitUnknown, "the change may have been made; run it again with the same --changeId, which is safe"}
	case therror.CredentialMissing:
		return ending{ExitCredential, "check the credential against operators.credential in the VM's settings"}
	}
	return ending{ExitFault, ""}
}
