package thsend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
)

// writeSlice is how often a write that blocks looks for an early answer.
const writeSlice = 100 * time.Millisecond

// errEarly says that the target answered or closed before it had the request.
var errEarly = errors.New("the target answered or closed before it had the request")

// connection is one connection to a target.
type connection struct {
	net.Conn
	raw syscall.RawConn
	// idleUntil is until when the target keeps the connection if it stays idle.
	idleUntil thclock.Instant
	// served counts the answers given.
	served int
	// written and got count the bytes of the request and answer under way.
	written, got int
	end          time.Time
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

// begin makes the connection ready for one exchange, which ends at the given
// time at the latest.
func (n *connection) begin(end time.Time) error {
	n.written, n.got, n.end = 0, 0, end
	return n.SetReadDeadline(end)
}

// Write counts what the kernel took. A write that blocks is given up when the
// target answers or closes before it has read all.
func (n *connection) Write(b []byte) (int, error) {
	for all := 0; ; {
		slice := time.Now().Add(writeSlice)
		if n.end.Before(slice) {
			slice = n.end
		}
		if err := n.SetWriteDeadline(slice); err != nil {
			return all, err
		}
		w, err := n.Conn.Write(b[all:])
		all += w
		n.written += w
		switch {
		case !isTimeout(err) || !time.Now().Before(n.end):
			return all, err
		case !n.quiet():
			return all, errEarly
		}
	}
}

// Read counts what came.
func (n *connection) Read(b []byte) (int, error) {
	r, err := n.Conn.Read(b)
	n.got += r
	return r, err
}

// quiet reports whether the connection is open and nothing has come on it.
func (n *connection) quiet() bool {
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
