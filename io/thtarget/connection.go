package thtarget

import (
	"errors"
	"net"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
)

// maxUnboundedWrite is the size of a request, in bytes, that the empty send
// buffer of a connection takes at once, so that its write needs no deadline.
const maxUnboundedWrite = 8 << 10

// connection is one connection to a target. While it is idle it holds no buffers.
type connection struct {
	net.Conn
	raw  syscall.RawConn
	used thclock.Instant
	// served counts the answers given.
	served int
	// written and got count the bytes of the request and answer under way.
	written, got int
	// readErr is the last error of the network.
	readErr error
	// end closes the connection; it is made once, for context.AfterFunc.
	end func()
	// peek asks the socket for a byte without waiting; it is made once.
	peek  func(fd uintptr) bool
	quiet bool
	// extend is the read deadline from the first byte on, if it is a later one.
	extend time.Time
	// bounded is whether a write deadline is set.
	bounded bool
}

func newConnection(nc net.Conn) *connection {
	n := &connection{Conn: nc}
	n.end = n.close
	n.peek = n.peekSocket
	if s, ok := nc.(syscall.Conn); ok {
		n.raw, _ = s.SyscallConn()
	}
	return n
}

// begin makes the connection ready for one exchange, which ends by the
// deadline and whose answer begins by the other.
func (n *connection) begin(firstByte, end time.Time, size int) {
	n.written, n.got, n.readErr = 0, 0, nil
	n.extend = time.Time{}
	if firstByte.Before(end) {
		n.extend = end
	}
	_ = n.SetReadDeadline(firstByte)
	if size > maxUnboundedWrite {
		_ = n.SetWriteDeadline(end)
	} else if n.bounded {
		_ = n.SetWriteDeadline(time.Time{})
	}
	n.bounded = size > maxUnboundedWrite
}

func (n *connection) close() { _ = n.Close() }

// Write counts what the kernel took.
func (n *connection) Write(b []byte) (int, error) {
	w, err := n.Conn.Write(b)
	n.written += w
	return w, err
}

// Read counts what came and keeps the network's own error, which the HTTP
// library replaces by one of its own.
func (n *connection) Read(b []byte) (int, error) {
	if n.got > 0 && !n.extend.IsZero() {
		_ = n.SetReadDeadline(n.extend)
		n.extend = time.Time{}
	}
	r, err := n.Conn.Read(b)
	n.got += r
	if err != nil {
		n.readErr = err
	}
	return r, err
}

// usable reports whether the connection is open and nothing has come on it
// unasked.
func (n *connection) usable() bool {
	n.quiet = false
	if n.raw == nil || n.raw.Read(n.peek) != nil {
		return false
	}
	return n.quiet
}

func (n *connection) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	n.quiet = errors.Is(err, syscall.EAGAIN)
	return true
}
