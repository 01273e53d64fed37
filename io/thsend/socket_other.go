//go:build !linux

package thsend

import "syscall"

// setUserTimeout does nothing, since TCP_USER_TIMEOUT is specific to Linux.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
