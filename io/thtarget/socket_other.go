//go:build !linux

package thtarget

import "syscall"

func controlSocket(_, _ string, _ syscall.RawConn) error { return nil }

func limitUnacknowledged(int, bool) {}
