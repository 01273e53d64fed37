//go:build review

package kit2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that an upstream has begun to run.
type Run struct {
	Upstream, Service, ID, Method, URI, Tenant string
	Body                                       []byte
	Header                                     http.Header
	At                                         time.Time
	// Gone is closed when the connection of the request has ended.
	Gone <-chan struct{}
}

// Reply is what an upstream answers. The zero Reply is a success with a short body.
type Reply struct {
	Status int
	Header map[string]string
	Body   string
	// Crash ends the upstream's process instead of an answer.
	Crash bool
	// Raw, if not nil, writes to the connection in place of an answer. The connection ends after it.
	Raw func(c net.Conn)
}

// Upstream is a stand-in of one process of a service.
type Upstream struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Handle answers a request that has begun to run. It may take its time.
	Handle func(u *Upstream, r *Run) Reply

	// Quiet leaves the runs out of the record.
	Quiet bool

	store  *Store
	record *Record
	mu     sync.Mutex
	// running and waiting are the counts of its load.
	running, waiting int
	conns            map[net.Conn]struct{}
	listener         net.Listener
	alive            bool
	born             int64
	seq              int
	slots            chan struct{}
	stop             chan struct{}
}

// heartbeat is how often an upstream writes to the store. Its entry is removed after three
// intervals of silence.
const heartbeat = 1500 * time.Millisecond

// NewUpstream starts an upstream at the address and registers it.
func NewUpstream(store *Store, record *Record, id, service, zone, address string, slots int, handle func(*Upstream, *Run) Reply) (*Upstream, error) {
	u := &Upstream{ID: id, Service: service, Zone: zone, Address: address, Slots: slots, Handle: handle, store: store, record: record}
	return u, u.Start()
}

// Start starts the process, as a new incarnation.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.listener, u.alive, u.conns, u.running, u.waiting = l, true, make(map[net.Conn]struct{}), 0, 0
	u.born, u.seq, u.slots, u.stop = time.Now().UnixMilli(), 0, make(chan struct{}, u.Slots), make(chan struct{})
	stop := u.stop
	u.mu.Unlock()
	u.record.Printf("upstream %s of %s: started", u.ID, u.Service)
	u.write("ready")
	go u.beat(stop)
	go u.accept(l)
	return nil
}

func (u *Upstream) write(state string) {
	u.mu.Lock()
	u.seq++
	value := map[string]any{
		"service": u.Service, "address": u.Address, "zone": u.Zone, "version": "v1", "slots": u.Slots, "state": state,
		"coldRemainingS": 0, "seq": u.seq, "born": u.born,
	}
	u.mu.Unlock()
	u.store.Put("servers", u.ID, value)
}

func (u *Upstream) beat(stop chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			u.write("ready")
		}
	}
}

// IsAlive reports whether the process runs.
func (u *Upstream) IsAlive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.alive
}

// Crash ends the process: its connections are reset, its port refuses new ones, and its entry
// lapses after three heartbeats.
func (u *Upstream) Crash() {
	u.mu.Lock()
	if !u.alive {
		u.mu.Unlock()
		return
	}
	u.alive = false
	close(u.stop)
	_ = u.listener.Close()
	id := u.ID
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	u.mu.Unlock()
	u.record.Printf("upstream %s of %s: crashed", id, u.Service)
	time.AfterFunc(3*heartbeat, func() {
		u.mu.Lock()
		isBack := u.alive && u.ID == id
		u.mu.Unlock()
		if !isBack {
			u.store.Delete("servers", id)
		}
	})
}

// Close ends the process for good.
func (u *Upstream) Close() { u.Crash() }

func (u *Upstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if !u.alive || u.listener != l {
			u.mu.Unlock()
			_ = c.Close()
			continue
		}
		u.conns[c] = struct{}{}
		u.mu.Unlock()
		go u.serve(c)
	}
}

// serve serves one connection, one request at a time.
func (u *Upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{})
		watched := make(chan struct{})
		go func() { // one request at a time: the next byte arrives after the answer
			defer close(watched)
			if _, err := br.Peek(1); err != nil {
				close(gone)
			}
		}()
		reply := u.run(r, body, gone)
		if reply.Crash {
			u.Crash()
			return
		}
		if reply.Raw != nil {
			reply.Raw(c)
			return
		}
		if !u.answer(c, r, reply) {
			return
		}
		<-watched
		select {
		case <-gone:
			return
		default:
		}
	}
}

// run runs a request in a slot, or rejects it.
func (u *Upstream) run(r *http.Request, body []byte, gone <-chan struct{}) Reply {
	if target := r.Header.Get("X-Tamarackhollow-Target-Instance"); target != "" && target != u.ID {
		return Reply{Status: 421, Header: map[string]string{"X-Tamarackhollow-Instance-Id": u.ID}}
	}
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Tamarackhollow-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	u.mu.Lock()
	slots := u.slots
	if u.waiting >= 4*u.Slots {
		u.mu.Unlock()
		return Reply{Status: 503, Header: map[string]string{"X-Tamarackhollow-Not-Executed": "1"}}
	}
	u.waiting++
	u.mu.Unlock()
	expired := time.NewTimer(deadline)
	defer expired.Stop()
	select {
	case slots <- struct{}{}:
	case <-expired.C:
		u.count(0, -1)
		return Reply{Status: 503, Header: map[string]string{"X-Tamarackhollow-Not-Executed": "1"}}
	case <-gone:
		u.count(0, -1)
		return Reply{Status: 503, Header: map[string]string{"X-Tamarackhollow-Not-Executed": "1"}}
	}
	u.count(1, -1)
	defer func() {
		u.count(-1, 0)
		<-slots
	}()
	run := &Run{
		Upstream: u.ID, Service: u.Service, ID: r.Header.Get("X-Tamarackhollow-Request-Id"), Method: r.Method, URI: r.RequestURI,
		Tenant: r.Header.Get("X-Tamarackhollow-Tenant-Name"), Body: body, Header: r.Header, At: time.Now(), Gone: gone,
	}
	if !u.Quiet {
		u.record.Printf("upstream %s of %s: runs %s (%s %s, %d bytes, tenant %q)", u.ID, u.Service, run.ID, run.Method, run.URI, len(body), run.Tenant)
	}
	reply := u.Handle(u, run)
	if reply.Status == 0 {
		reply.Status = 200
	}
	if reply.Header == nil {
		reply.Header = map[string]string{}
	}
	reply.Header["X-Tamarackhollow-Response-Stamp"] = "stamp." + run.ID
	return reply
}

func (u *Upstream) count(running, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += running
	u.waiting += waiting
}

func (u *Upstream) answer(c net.Conn, r *http.Request, reply Reply) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", reply.Status, http.StatusText(reply.Status))
	fmt.Fprintf(&b, "X-Tamarackhollow-Request-Id: %s\r\n", r.Header.Get("X-Tamarackhollow-Request-Id"))
	u.mu.Lock()
	fmt.Fprintf(&b, "X-Tamarackhollow-Server-Load: %d,%d,%d\r\n", u.running, u.waiting, u.Slots)
	u.mu.Unlock()
	for k, v := range reply.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(reply.Body))
	if r.Method != http.MethodHead {
		b.WriteString(reply.Body)
	}
	_, err := io.WriteString(c, b.String())
	return err == nil
}
