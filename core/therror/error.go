// Package therror defines the error kinds and, for each kind, the answer that a
// caller or operator gets: HTTP status, outcome and whether to retry.
package therror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// Detail explains the error and may be shown to callers. The cause may not:
	// its text can contain internal addresses.
	Detail string
	cause  error
}

// New returns an error of kind k whose detail is formatted as by fmt.Sprintf.
// Without args, format is used as it is.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: formatDetail(format, args)}
}

// Wrap is like New and records err as the cause.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: formatDetail(format, args), cause: err}
}

func formatDetail(format string, args []any) string {
	if len(args) == 0 {
		return format
	}
	return fmt.Sprintf(format, args...)
}

// Error returns the kind's name, the detail and the cause, separated by colons.
func (e *Error) Error() string {
	s := e.Kind.String()
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the outermost Error in err's chain, or Internal if
// the chain holds no Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is not nil and KindOf(err) is k.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}
