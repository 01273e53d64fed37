package thwire

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
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

// dialRepeatedly connects to the address in as many attempts as fit into dialTimeout and the
// context. It returns the error of the last one.
func dialRepeatedly(ctx context.Context, d net.Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline() // there is one
	for timeout := firstDialTimeout; ; timeout *= 2 {
		left := time.Until(deadline)
		d.Timeout = timeout
		nc, err := d.DialContext(ctx, "tcp", address)
		if err == nil || left <= timeout || !isTimeout(err) {
			return nc, err
		}
	}
}

// isTimeout reports whether an attempt to connect got no reply in time.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
