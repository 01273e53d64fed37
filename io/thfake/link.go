package thfake

import (
	"io"
	"net"
	"slices"
	"sync"
)

// Link forwards TCP connections to a destination and can stall either direction.
// A stall holds bytes back without closing the connection, as packet loss does.
type Link struct {
	listener    net.Listener
	destination string

	mu    sync.Mutex
	stall Stall
	conns map[*linkConn]bool
	// changed wakes stalled connections when the stall changes or the link is
	// closed.
	changed *sync.Cond
	closed  bool
}

// Stall selects the directions and connections whose bytes a link holds back.
type Stall struct {
	// Forward holds back bytes to the destination.
	Forward bool
	// Backward holds back bytes from the destination.
	Backward bool
	// Sources limits the stall to connections from these IP addresses; empty
	// means all.
	Sources []string
}

// linkConn is one forwarded connection.
type linkConn struct {
	client, server net.Conn
	source         string
	// stalled holds back both directions until the link is closed, whatever the
	// link's own stall.
	stalled bool
}

// NewLink returns a link that forwards connections accepted by the listener to
// the destination "IP:port".
func NewLink(l net.Listener, destination string) *Link {
	k := &Link{listener: l, destination: destination, conns: make(map[*linkConn]bool)}
	k.changed = sync.NewCond(&k.mu)
	go k.accept()
	return k
}

// Address returns the address at which the link listens, as "IP:port".
func (k *Link) Address() string { return k.listener.Addr().String() }

// SetStall sets what is held back from now on. The zero Stall forwards
// everything, including the bytes held back until then.
func (k *Link) SetStall(s Stall) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stall = s
	k.changed.Broadcast()
}

// StallOpenConnections stalls the connections that are open now in both
// directions, permanently; new connections are not affected. It returns the
// number of stalled connections.
func (k *Link) StallOpenConnections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.stalled = true
	}
	return len(k.conns)
}

// Close closes the listener and every connection, stalled ones too.
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
		client, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forwardConnection(client)
	}
}

// forwardConnection forwards one accepted connection until it is closed.
func (k *Link) forwardConnection(client net.Conn) {
	server, err := net.Dial("tcp", k.destination)
	if err != nil {
		_ = client.Close()
		return
	}
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	c := &linkConn{client: client, server: server, source: host}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		k.copyDirection(c, server, client, true)
	}()
	go func() {
		defer both.Done()
		k.copyDirection(c, client, server, false)
	}()
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

const copyBufferBytes = 32 << 10

// copyDirection copies one direction until it ends and then closes both
// connections. A stall delays the close too.
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

// waitWhileStalled blocks while the direction of the connection is stalled, and
// returns when the link is closed.
func (k *Link) waitWhileStalled(c *linkConn, forward bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.closed && (c.stalled || k.stall.appliesTo(c.source, forward)) {
		k.changed.Wait()
	}
}

// appliesTo reports whether the stall holds back the given direction of
// connections from the source IP address.
func (s Stall) appliesTo(source string, forward bool) bool {
	if len(s.Sources) > 0 && !slices.Contains(s.Sources, source) {
		return false
	}
	if forward {
		return s.Forward
	}
	return s.Backward
}
