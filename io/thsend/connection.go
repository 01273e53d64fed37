package thsend

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
)

// writePollInterval is how often a blocked write checks for an early answer.
const writePollInterval = 100 * time.Millisecond

// errEarlyAnswer is returned by a write when the target answered or closed the
// connection before it had read the whole request.
var errEarlyAnswer = errors.New("the target answered or closed the connection before it had read the whole request")

const (
	// shortAnswerBytes is the length up to which an answer is read though the others have
	// used up the limit, so that long ones do not hold up all others.
	shortAnswerBytes = 256 << 10
	// shortAnswersFactor is how many times the limit all answers may take for that.
	shortAnswersFactor = 2
)

// errUnfinishedBudget is returned by a read when the answers that all targets have begun
// take too much memory. A target may send bytes without end.
var errUnfinishedBudget = errors.New("the unfinished answers of all targets are longer than the limit")

// byteBudget limits the bytes of answers that several connections hold.
type byteBudget struct {
	limit, used atomic.Int64
}

// add counts bytes that are held, or released if negative, and returns which part of the
// limit is held.
func (b *byteBudget) add(bytes int) float64 {
	return float64(b.used.Add(int64(bytes))) / float64(b.limit.Load())
}

// connection wraps a connection to a target. It counts the bytes of the current
// exchange and bounds its reads and writes by a deadline.
type connection struct {
	net.Conn
	// raw is nil if the connection gives no access to its file descriptor.
	raw syscall.RawConn
	// expiresAt is the time after which the target may close the connection if
	// it stays idle.
	expiresAt thclock.Instant
	// completed counts the exchanges that ended with a whole answer. It is
	// greater than 0 when the connection is reused.
	completed int
	// requestID is that of the latest request.
	requestID string
	// bytesSent and bytesReceived count the bytes of the current exchange.
	bytesSent, bytesReceived int
	deadline                 time.Time
	unfinished               *byteBudget
	// held is how many bytes of unfinished are taken by the answer.
	held int
	// broken is set once a write has failed because the connection was closed. The kernel
	// reports a reset once, so that a read after it can't tell a reset from an end.
	broken bool
}

func newConnection(nc net.Conn, unfinished *byteBudget) (*connection, error) {
	n := &connection{Conn: nc, unfinished: unfinished}
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

// startExchange resets the byte counts and sets the deadline of the next
// exchange.
func (n *connection) startExchange(deadline time.Time) error {
	n.bytesSent, n.bytesReceived, n.deadline = 0, 0, deadline
	return n.SetReadDeadline(deadline)
}

// Write writes b by the exchange's deadline and counts the bytes that the kernel
// accepted. A blocked write returns errEarlyAnswer if the target has answered or
// closed the connection before it has read everything.
func (n *connection) Write(b []byte) (int, error) {
	for total := 0; ; {
		pollAt := time.Now().Add(writePollInterval)
		if n.deadline.Before(pollAt) {
			pollAt = n.deadline
		}
		if err := n.SetWriteDeadline(pollAt); err != nil {
			return total, err
		}
		w, err := n.Conn.Write(b[total:])
		total += w
		n.bytesSent += w
		switch {
		case !isTimeout(err) || !time.Now().Before(n.deadline):
			n.broken = err != nil && !isTimeout(err)
			return total, err
		case !n.isQuiet():
			return total, errEarlyAnswer
		}
	}
}

// Read reads into b and counts the bytes received. It returns errUnfinishedBudget if they
// do not fit into memory.
func (n *connection) Read(b []byte) (int, error) {
	r, err := n.Conn.Read(b)
	n.bytesReceived += r
	if err == nil && !n.hold(n.bytesReceived) {
		return 0, errUnfinishedBudget // fasthttp ignores an error that comes with bytes
	}
	return r, err
}

// hold counts the answer as having at least the given length, and reports whether all
// unfinished answers together are within their limit, which is a higher one for short ones.
func (n *connection) hold(length int) bool {
	more := max(0, length-n.held)
	n.held += more
	used := n.unfinished.add(more)
	return used <= 1 || length <= shortAnswerBytes && used <= shortAnswersFactor
}

// endExchange gives back what the answer held.
func (n *connection) endExchange() {
	n.unfinished.add(-n.held)
	n.held = 0
}

// isQuiet reports whether the connection is open and has no data to read.
func (n *connection) isQuiet() bool {
	if n.raw == nil {
		return true
	}
	quiet := false
	// raw.Read would fail if the deadline of the previous exchange has passed;
	// Control ignores deadlines.
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
