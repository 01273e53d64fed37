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

// writeSlice is how often a write that blocks looks for an early answer.
const writeSlice = 100 * time.Millisecond

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
	// abort closes the connection; it is made once, for context.AfterFunc.
	abort func()
	// peek asks the socket for a byte without waiting; it is made once.
	peek  func(fd uintptr) bool
	quiet bool
	// extend is the read deadline from the first byte on, if it is a later one.
	extend time.Time
	// bounded is whether the request under way is long enough to block.
	bounded bool
	// end is when the exchange ends at the latest.
	end time.Time
}

func newConnection(nc net.Conn) *connection {
	n := &connection{Conn: nc}
	n.abort = n.close
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
	n.end = end
	if bounded := size > maxUnboundedWrite; bounded != n.bounded {
		n.bounded = bounded
		n.setBounded()
	}
}

// setBounded prepares the socket for long writes or for short ones. A target
// that reads a long write slowly acknowledges nothing for a while, which is
// no sign of a connection that has gone silent.
func (n *connection) setBounded() {
	_ = n.SetWriteDeadline(time.Time{})
	if n.raw != nil {
		_ = n.raw.Control(func(fd uintptr) { limitUnacknowledged(int(fd), !n.bounded) })
	}
}

func (n *connection) close() { _ = n.Close() }

// Write counts what the kernel took. A long write is given up when the target
// answers or closes before it has read all.
func (n *connection) Write(b []byte) (int, error) {
	if !n.bounded {
		w, err := n.Conn.Write(b)
		n.written += w
		return w, err
	}
	for all := 0; ; {
		now := time.Now()
		_ = n.SetWriteDeadline(earlier(now.Add(writeSlice), n.end))
		w, err := n.Conn.Write(b[all:])
		all += w
		n.written += w
		switch {
		case !isTimeout(err) || !time.Now().Before(n.end):
			return all, err
		case !n.usable():
			return all, errEarly
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
