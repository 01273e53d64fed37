// Package therror holds the closed list of error kinds and the table from a
// kind to the answer that a caller or operator gets for it.
package therror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error of a known kind. Its text is safe to show to a caller.
type Error struct {
	Kind   Kind
	Detail string
	cause  error
}

// New returns an error of the given kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: detail(format, args)}
}

// Wrap returns an error of the given kind caused by err.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: detail(format, args), cause: err}
}

func detail(format string, args []any) string {
	if len(args) == 0 {
		return format
	}
	return fmt.Sprintf(format, args...)
}

// Error returns the kind's name, the detail and the cause.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the outermost Error in err's chain, and Internal
// for an error that has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}
