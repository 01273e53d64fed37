package thingress

import "time"

const (
	// closeTimeout bounds the time that a caller may take to read the last answer on a
	// connection and to close it. It is as long as for any answer.
	closeTimeout = writeTimeout
	// quietTimeout is how long a caller has to send nothing for the connection to be closed
	// before that.
	quietTimeout = 2 * time.Second
	// displacedCloseTimeout is closeTimeout for a caller that had to give way to others. It had
	// stalled, and its connection may be what others wait for.
	displacedCloseTimeout = 200 * time.Millisecond
)

// stopReading makes the reader accept no further request unless it has begun to read one.
// Callers send again what they sent behind an answer that announces the end.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest {
		c.closing = true
		c.setReadDeadline(time.Now())
	}
}

// closeAfterReply ends the connection after a reply that announced its end. It only
// shuts down writing: the system answers input after a close with a reset, which makes
// the caller's system drop what it has not read of the reply.
func (c *connection) closeAfterReply() {
	c.mu.Lock()
	timeout := closeTimeout
	if c.closesSoon {
		timeout = displacedCloseTimeout
	}
	c.discardUntil = time.Now().Add(timeout)
	c.setDiscardDeadline()
	c.mu.Unlock()
	c.cancel()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // an error means that the caller has left
	}
}

// awaitClose discards input until the caller closes the connection, or has sent nothing
// for quietTimeout, or until discardUntil. It returns at once if there is no reply that
// the caller may not have read.
func (c *connection) awaitClose() {
	c.mu.Lock()
	replied := c.pending > 0 || c.endAnnounced
	c.mu.Unlock()
	for err := error(nil); replied && err == nil; {
		c.mu.Lock()
		c.setDiscardDeadline()
		c.mu.Unlock()
		_, err = c.input.Discard(max(1, c.input.Buffered()))
	}
}

// setDiscardDeadline bounds the wait for input that is discarded, unless a reply is
// still to be written. c.mu must be held.
func (c *connection) setDiscardDeadline() {
	var deadline time.Time
	if !c.discardUntil.IsZero() {
		deadline = time.Now().Add(quietTimeout)
		if c.discardUntil.Before(deadline) {
			deadline = c.discardUntil
		}
	}
	c.setReadDeadline(deadline)
}

// abort cancels the connection's requests and closes it. What the caller has not read
// may be lost.
func (c *connection) abort() {
	c.cancel()
	_ = c.Close() // an error means that it is closed already
}
