package thsend

import "syscall"

const (
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
	// syscall does not define.
	tcpUserTimeout = 18
	// userTimeoutMillis is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. Retransmissions over a lossy link take a few
	// hundred milliseconds.
	userTimeoutMillis = 1500
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection whose packets are
// lost fails soon. It does not affect slow targets, whose kernels still
// acknowledge.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return optionErr
}
