package thstand

import (
	"io"
	"net"
	"slices"
	"sync"
)

// Link is a network path that forwards connections to a destination and can
// be cut in either direction. A cut holds bytes back without closing anything,
// as a lost packet does.
type Link struct {
	listener    net.Listener
	destination string

	mu      sync.Mutex
	stall   Stall
	conns   map[*linkConn]bool
	changed *sync.Cond
	closed  bool
}

// Stall says what a link holds back.
type Stall struct {
	// Forward holds back what flows to the destination.
	Forward bool
	// Backward holds back what flows from the destination.
	Backward bool
	// Sources limits the cuts to connections from these IP addresses; empty
	// means all.
	Sources []string
}

type linkConn struct {
	client, server net.Conn
	source         string
	// stalled connections are held back in both directions for good.
	stalled bool
}

// NewLink forwards what the listener accepts to the destination "IP:port".
func NewLink(l net.Listener, destination string) *Link {
	k := &Link{listener: l, destination: destination, conns: make(map[*linkConn]bool)}
	k.changed = sync.NewCond(&k.mu)
	go k.accept()
	return k
}

// Address is where the link listens.
func (k *Link) Address() string { return k.listener.Addr().String() }

// SetStall sets what is held back from now on; the zero Cuts lets all through.
func (k *Link) SetStall(c Stall) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stall = c
	k.changed.Broadcast()
}

// StallOpenConnections makes the connections that stand now silent for good, while new
// ones work. It returns how many they were.
func (k *Link) StallOpenConnections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.stalled = true
	}
	return len(k.conns)
}

// Close closes the listener and every connection.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for c := range k.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
	k.changed.Broadcast()
}

func (k *Link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forwardConnection(near)
	}
}

func (k *Link) forwardConnection(near net.Conn) {
	far, err := net.Dial("tcp", k.destination)
	if err != nil {
		_ = near.Close()
		return
	}
	host, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	c := &linkConn{client: near, server: far, source: host}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		k.copyDirection(c, far, near, true)
	}()
	go func() {
		defer both.Done()
		k.copyDirection(c, near, far, false)
	}()
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

const copyBufferBytes = 32 << 10

// copyDirection copies one direction and closes both ends when it ends, unless the
// direction is cut: then even the end is held back.
func (k *Link) copyDirection(c *linkConn, to, from net.Conn, forward bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		k.waitWhileStalled(c, forward)
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// waitWhileStalled waits while the direction is cut.
func (k *Link) waitWhileStalled(c *linkConn, forward bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.closed && (c.stalled || k.stall.appliesTo(c.source, forward)) {
		k.changed.Wait()
	}
}

func (c Stall) appliesTo(source string, forward bool) bool {
	if len(c.Sources) > 0 && !slices.Contains(c.Sources, source) {
		return false
	}
	if forward {
		return c.Forward
	}
	return c.Backward
}
