package thtarget

import "syscall"

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
	// unacknowledgedMillis is how long sent bytes may stay without any
	// acknowledgement from the other side before the connection is given up.
	unacknowledgedMillis = 2000
)

// controlSocket bounds the wait on a connection that the network has lost
// track of. It has no say over a target that is slow: its kernel acknowledges.
func controlSocket(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { limitUnacknowledged(int(fd), true) })
}

// limitUnacknowledged sets or lifts the bound.
func limitUnacknowledged(fd int, on bool) {
	millis := 0
	if on {
		millis = unacknowledgedMillis
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, millis)
}
