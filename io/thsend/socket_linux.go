package thsend

import "syscall"

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
	// userTimeoutMillis is how long sent bytes may stay without any
	// acknowledgement before the connection is given up; retransmissions over
	// a lossy link take a few hundred milliseconds.
	userTimeoutMillis = 1500
)

// setUserTimeout bounds the wait on a connection that the network has lost
// track of. It has no say over a target that is slow: its kernel acknowledges.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return set
}
