package thsend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
)

// writePollInterval is how often a write that blocks looks for an early answer.
const writePollInterval = 100 * time.Millisecond

// errEarlyAnswer says that the target answered or closed before it had the request.
var errEarlyAnswer = errors.New("the target answered or closed before it had the request")

// connection is one connection to a target.
type connection struct {
	net.Conn
	raw syscall.RawConn
	// expiresAt is until when the target keeps the connection if it stays idle.
	expiresAt thclock.Instant
	// completed counts the answers given.
	completed int
	// bytesSent and bytesReceived count the bytes of the request and answer under way.
	bytesSent, bytesReceived int
	deadline                 time.Time
}

func newConnection(nc net.Conn) (*connection, error) {
	n := &connection{Conn: nc}
	s, ok := nc.(syscall.Conn)
	if !ok {
		return n, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, err
	}
	n.raw = raw
	return n, nil
}

// startExchange makes the connection ready for one exchange, which ends at the given
// time at the latest.
func (n *connection) startExchange(end time.Time) error {
	n.bytesSent, n.bytesReceived, n.deadline = 0, 0, end
	return n.SetReadDeadline(end)
}

// Write counts what the kernel took. A write that blocks is given up when the
// target answers or closes before it has read all.
func (n *connection) Write(b []byte) (int, error) {
	for all := 0; ; {
		slice := time.Now().Add(writePollInterval)
		if n.deadline.Before(slice) {
			slice = n.deadline
		}
		if err := n.SetWriteDeadline(slice); err != nil {
			return all, err
		}
		w, err := n.Conn.Write(b[all:])
		all += w
		n.bytesSent += w
		switch {
		case !isTimeout(err) || !time.Now().Before(n.deadline):
			return all, err
		case !n.isQuiet():
			return all, errEarlyAnswer
		}
	}
}

// Read counts what came.
func (n *connection) Read(b []byte) (int, error) {
	r, err := n.Conn.Read(b)
	n.bytesReceived += r
	return r, err
}

// isQuiet reports whether the connection is open and nothing has come on it.
func (n *connection) isQuiet() bool {
	if n.raw == nil {
		return true
	}
	quiet := false
	// Control, unlike Read, does not fail once the deadline of the last request
	// has passed.
	err := n.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
