package thwire_test

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// listenWithoutQueue returns a listener that takes one connection, and drops the opening
// packets of others until that one is accepted.
func listenWithoutQueue(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, syscall.Close(fd)) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	return fd, fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// VMs that start together fill each other's queues of new connections. The kernel repeats a
// dropped opening packet after a second, too late for a call that is to end before.
func TestCallConnectsAgainAfterLostOpeningPacket(t *testing.T) {
	fd, address := listenWithoutQueue(t)
	first, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = first.Close() }()
	_, err = net.DialTimeout("tcp", address, 50*time.Millisecond)
	assert.Assert(t, err != nil, "the opening packet was not dropped")
	accepted := make(chan error, 2)
	go func() {
		time.Sleep(200 * time.Millisecond)
		for range 2 { // the first one makes room
			c, _, err := syscall.Accept(fd)
			if err == nil {
				err = syscall.Close(c)
			}
			accepted <- err
		}
	}()
	c := thwire.NewClient(thwire.ClientOptions{Credential: "secret"})
	go func() {
		_, _ = thwire.Call[request, answer](t.Context(), c, address, "/echo", request{}) // the listener never answers
	}()
	for range cap(accepted) {
		select {
		case err := <-accepted:
			assert.NilError(t, err)
		case <-time.After(10 * time.Second):
			t.Fatal("the call did not connect")
		}
	}
}
