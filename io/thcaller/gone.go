package thcaller

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// watchInterval is how often a waiting caller's connection is looked at.
const watchInterval = 50 * time.Millisecond

// watchCaller cancels when the caller closes its connection. The returned
// function ends the watch and waits for it, so that the connection is free
// for its next request.
func watchCaller(conn net.Conn, cancel context.CancelFunc) func() {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	w := &callerWatch{raw: raw, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.look)
	return w.stop
}

// callerWatch looks at a connection now and then without taking bytes from it.
type callerWatch struct {
	raw    syscall.RawConn
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *callerWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if closed(w.raw) {
		w.cancel()
		return
	}
	w.timer.Reset(watchInterval)
}

func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// closed reports whether the other side has closed the connection. Bytes of a
// next request stay where they are.
func closed(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR: //nolint:errorlint // syscall returns the bare value
		case err != nil:
			gone = true
		default:
			gone = n == 0
		}
	})
	return gone || err != nil
}
