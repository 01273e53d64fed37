package thfake

import (
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// trackConnection maintains the list of open connections, which crash closes.
func (t *Target) trackConnection(c net.Conn, s fasthttp.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case fasthttp.StateNew:
		t.connections = append(t.connections, c)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		t.connections = slices.DeleteFunc(t.connections, func(o net.Conn) bool { return o == c })
	}
}

// crash imitates the crash of the target's process: it closes every connection,
// and new ones are refused until the target restarts after the given time.
func (t *Target) crash(down time.Duration) {
	t.mu.Lock()
	t.crashes++
	open := t.connections
	t.connections = nil
	_ = t.listener.Close()
	t.mu.Unlock()
	address, _ := t.listener.Addr().(*net.TCPAddr)
	fd, err := reservePort(address)
	for _, c := range open {
		_ = c.Close()
	}
	if err == nil {
		time.AfterFunc(down, func() { t.restart(fd) })
	}
}

// reservePort binds a socket to the address without listening, so that
// connections are refused and no other process can take the port. It returns the
// socket's file descriptor.
func reservePort(a *net.TCPAddr) (int, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	return fd, syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())})
}

// restart listens on the reserved socket and serves again, unless the target was
// closed in the meantime.
func (t *Target) restart(fd int) {
	if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
		return
	}
	f := os.NewFile(uintptr(fd), "target")
	l, err := net.FileListener(f)
	_ = f.Close()
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = l.Close()
		return
	}
	t.listener = l
	go func() { _ = t.http.Serve(l) }()
}

// Crashes returns how many times the target has crashed.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}
