package thtarget_test

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/io/thtarget"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// scripted is a target whose every connection follows a script. It records
// which requests it received whole, and so may have run.
type scripted struct {
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	seen     []string
	accepted int
	peers    []net.Conn
	script   func(s *scripted, c *peer)
	done     sync.WaitGroup
	// ended is closed when the test is over.
	ended chan struct{}
}

// peer is the target's end of one connection.
type peer struct {
	net.Conn
	target *scripted
	reader *bufio.Reader
	// number counts the target's connections from 1.
	number int
}

func newScripted(t *testing.T, script func(*scripted, *peer)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scripted{listener: l, runs: map[string]int{}, script: script, ended: make(chan struct{})}
	s.done.Add(1)
	go s.accept()
	t.Cleanup(func() {
		_ = l.Close()
		close(s.ended)
		s.mu.Lock()
		for _, c := range s.peers {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.done.Wait()
	})
	return s
}

func (s *scripted) address() string { return s.listener.Addr().String() }

func (s *scripted) accept() {
	defer s.done.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		n := s.accepted
		s.peers = append(s.peers, c)
		s.mu.Unlock()
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer func() { _ = c.Close() }()
			s.script(s, &peer{Conn: c, target: s, reader: bufio.NewReader(c), number: n})
		}()
	}
}

// request reads one whole request, which counts as run, and returns its ID.
func (p *peer) request() (string, bool) {
	var r fasthttp.Request
	if r.Read(p.reader) != nil {
		return "", false
	}
	id := string(r.Header.Peek("Tamarack-Request-Id"))
	p.target.mu.Lock()
	defer p.target.mu.Unlock()
	p.target.runs[id]++
	p.target.seen = append(p.target.seen, r.Header.String())
	return id, true
}

func (p *peer) say(text string) { _, _ = p.Write([]byte(text)) }

// reset ends the connection with a reset in place of an orderly close.
func (p *peer) reset() {
	if c, ok := p.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = p.Close()
}

// untilClosed waits until the other side closes.
func (p *peer) untilClosed() {
	var b [512]byte
	for {
		if _, err := p.reader.Read(b[:]); err != nil {
			return
		}
	}
}

func (s *scripted) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *scripted) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// serveWell answers every request.
func serveWell(_ *scripted, p *peer) {
	for {
		if _, ok := p.request(); !ok {
			return
		}
		p.say(okAnswer)
	}
}

var service = thconfig.Service{Name: "orders", Connections: 300, Slots: 2}

func newClient() *thtarget.Client {
	return thtarget.New(thtarget.Options{Clock: thclock.System{}, Log: thevent.Discard{}})
}

func newRequest(id, method string, wait time.Duration) *threquest.Request {
	q := &threquest.Request{ID: id, Method: method, URI: "/orders?a=1", Service: service, Deadline: thclock.System{}.Now().Add(wait)}
	if method == "POST" {
		q.Body = []byte("one crate")
	}
	return q
}

const patience = 10 * time.Second

func send(c *thtarget.Client, s *scripted, q *threquest.Request) threquest.Attempt {
	return c.Send(context.Background(), s.address(), q)
}
