package thwire

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// firstDialTimeout is the time of the first attempt to connect; each further one
	// takes twice as long. The kernel repeats a lost opening packet only after a second,
	// and VMs that start together lose many: to those that are not up yet, and to those
	// whose queue of new connections is full.
	firstDialTimeout = 150 * time.Millisecond
)

// dialRepeatedly connects to the address in as many attempts as fit into the timeout,
// which is at most dialTimeout. It returns the error of the last one.
func dialRepeatedly(d *fasthttp.TCPDialer, address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	deadline := time.Now().Add(timeout)
	for attempt := firstDialTimeout; ; attempt *= 2 {
		left := time.Until(deadline)
		c, err := d.DialTimeout(address, min(attempt, max(left, time.Millisecond)))
		if err == nil || left <= attempt || !isTimeout(err) {
			return c, err
		}
	}
}

// isTimeout reports whether an attempt to connect got no reply in time.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &netError) && netError.Timeout()
}
