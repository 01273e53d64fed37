//go:build !linux

package thsend

import "syscall"

func controlSocket(_, _ string, _ syscall.RawConn) error { return nil }
