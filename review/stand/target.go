//go:build review

package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The header fields that callers, VMs and targets exchange.
const (
	headerID       = "X-Tamarackhollow-Request-Id"
	headerDeadline = "X-Tamarackhollow-Deadline-Ms"
	headerTarget   = "X-Tamarackhollow-Target-Instance"
	headerStamp    = "X-Tamarackhollow-Response-Stamp"
	headerNotRun   = "X-Tamarackhollow-Not-Executed"
	headerInstance = "X-Tamarackhollow-Instance-Id"
	headerLoad     = "X-Tamarackhollow-Server-Load"
)

const (
	healthPath = "/health"
	// heartbeat is how often a target writes its entry.
	heartbeat = 1500 * time.Millisecond
	// idleTimeout is how long a target keeps an idle connection.
	idleTimeout = 10 * time.Second
)

// Run is one request that a target began to run.
type Run struct {
	ID     string
	Target string
	Start  time.Time
	// End is zero while the target is at work.
	End time.Time
	// Answered is set if the whole answer was written.
	Answered bool
}

// Runs holds the requests that targets began to run.
type Runs struct {
	mu   sync.Mutex
	runs []*Run
}

func (r *Runs) begin(id, target string) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{ID: id, Target: target, Start: time.Now()}
	r.runs = append(r.runs, run)
	return run
}

func (r *Runs) end(run *Run, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End, run.Answered = time.Now(), answered
}

// All returns copies of the runs so far.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		all = append(all, *run)
	}
	return all
}

// ByID returns copies of the runs by request ID.
func (r *Runs) ByID() map[string][]Run {
	m := map[string][]Run{}
	for _, run := range r.All() {
		m[run.ID] = append(m[run.ID], run)
	}
	return m
}

// Reply is what a target does with a request after it ran it.
type Reply struct {
	Work time.Duration
	// BodyBytes is the length of the answer's body.
	BodyBytes int
	// Drop resets the connection in place of the answer.
	Drop bool
	// Hang leaves the request without an answer until the connection is closed.
	Hang bool
}

// TargetOptions configure a Target.
type TargetOptions struct {
	ID, Service, Zone, IP string
	Slots                 int
	Runs                  *Runs
	Store                 *Store
	// Behave returns what the target does with a request.
	Behave func(r *http.Request) Reply
}

// Target is a stand-in of an upstream. It registers itself in the store.
type Target struct {
	TargetOptions
	Address string

	mu               sync.Mutex
	running, waiting int
	slots            chan struct{}
	done             chan struct{}
}

// StartTarget starts a target on a free port.
func StartTarget(o TargetOptions) (*Target, error) {
	l, err := net.Listen("tcp", o.IP+":0")
	if err != nil {
		return nil, err
	}
	t := &Target{TargetOptions: o, Address: l.Addr().String(), slots: make(chan struct{}, o.Slots), done: make(chan struct{})}
	go t.accept(l)
	go t.beat()
	return t, nil
}

// beat writes the target's entry every heartbeat.
func (t *Target) beat() {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		t.Store.Put("servers", t.ID, map[string]any{
			"service": t.Service, "address": t.Address, "zone": t.Zone, "version": "v1", "slots": t.Slots,
			"state": "ready", "coldRemainingS": 0, "seq": seq, "born": born,
		})
		select {
		case <-time.After(heartbeat):
		case <-t.done:
			return
		}
	}
}

func (t *Target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := br.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !t.handle(c, r) {
			return
		}
	}
}

// queueLimit is how many requests wait for a slot.
const queueLimit = 24

// handle answers a request, and reports whether the connection stays open.
func (t *Target) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(headerID)
	if r.URL.Path == healthPath {
		return t.answer(c, "200 OK", id, headerInstance+": "+t.ID+"\r\n", 0)
	}
	if target := r.Header.Get(headerTarget); target != "" && target != t.ID {
		return t.answer(c, "421 Misdirected Request", id, headerInstance+": "+t.ID+"\r\n", 0)
	}
	t.mu.Lock()
	full := t.waiting >= queueLimit
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return t.answer(c, "503 Service Unavailable", id, headerNotRun+": 1\r\n", 0)
	}
	t.slots <- struct{}{}
	t.count(-1, 1)
	run := t.Runs.begin(id, t.ID)
	reply := t.Behave(r)
	time.Sleep(reply.Work)
	t.count(0, -1)
	<-t.slots
	if reply.Hang {
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		_, _ = c.Read(make([]byte, 1)) // returns when the VM closes the connection
		t.Runs.end(run, false)
		return false
	}
	if reply.Drop {
		t.Runs.end(run, false)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	ok := t.answer(c, "200 OK", id, headerStamp+": "+t.ID+"."+id+"\r\n", reply.BodyBytes)
	t.Runs.end(run, ok)
	return ok
}

func (t *Target) count(waiting, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting += waiting
	t.running += running
}

func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.Slots)
}

func (t *Target) answer(c net.Conn, status, id, fields string, bodyBytes int) bool {
	head := "HTTP/1.1 " + status + "\r\n" + headerID + ": " + id + "\r\n" + fields + headerLoad + ": " + t.load() +
		"\r\nKeep-Alive: timeout=" + strconv.Itoa(int(idleTimeout.Seconds())) + "\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	_ = c.SetWriteDeadline(time.Now().Add(time.Minute))
	_, err := c.Write(append([]byte(head), Body(id, bodyBytes)...))
	return err == nil
}

// Body returns the body of the answer to a request, which depends on its ID.
func Body(id string, length int) []byte {
	body := make([]byte, 0, length+len(id)+1)
	for len(body) < length {
		body = append(body, id...)
		body = append(body, '\n')
	}
	return body[:length]
}
