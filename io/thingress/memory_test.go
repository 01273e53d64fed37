package thingress_test

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thmemory"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thingress"

	"gotest.tools/v3/assert"
)

// heldBytes returns the memory that this process holds now, without what can be freed.
func heldBytes() int64 {
	var s runtime.MemStats
	for range 3 { // pools keep what they have for two collections
		runtime.GC()
	}
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

// TestAccountCoversWhatCallersMakeServerHold guards against an account that charges less than callers
// take, in each way in which they can take it. Its log has the figures of CAPACITY.md.
func TestAccountCoversWhatCallersMakeServerHold(t *testing.T) {
	const (
		callers = 200
		// callerBytes bounds what the test's own end of a connection takes.
		callerBytes = 6 << 10
	)
	large := strings.Repeat("x", 12<<10)
	for _, c := range []struct{ name, text string }{
		{"silent connection", ""},
		{"part of a head", "GET /safe/1 HTTP/1.1\r\nX-Large: " + large},
		{"request with a small head", "GET /safe/held HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n"},
		{"request with a large head", "GET /safe/held HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Large: " + large + "\r\n\r\n"},
		{"8 pipelined requests", strings.Repeat("GET /safe/held HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n", 8)},
		{"part of a body", upload("key", 200_000) + strings.Repeat("x", 100_000)},
		{"part of a chunk", upload("key", -1) + fmt.Sprintf("%x\r\n", 1_000_000) + strings.Repeat("x", 100_000)},
		{"body in tiny chunks", upload("key", -1) + strings.Repeat("1\r\nx\r\n", 5000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBodyServer(t, 0)
			s.forwarder.started = make(chan string, callers*8)
			released := s.forwarder.hold("/safe/held")
			defer close(released)
			before := heldBytes()
			for range callers {
				s.dial().send(c.text)
			}
			for until := time.Now().Add(testTimeout); s.server.Connections() < callers && time.Now().Before(until); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond) // lets the server read
			held, use := heldBytes()-before, s.server.MemoryUse()
			t.Logf("for each caller: %d bytes are held, %d charged to the connection, %d to its requests", held/callers, use.Connections/callers, use.Requests/callers)
			assert.Assert(t, held <= use.Connections+use.Requests+callers*callerBytes)
		})
	}
}

// TestSlowBodyIsRefused guards against callers that send a byte now and then, or stop, and against the end
// of a body that is slow but steady.
func TestSlowBodyIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		bytes  int
		status int
	}{
		{"stops", 0, 408},
		{"single bytes", 1, 408},
		{"steady", 3000, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			document := table().Document()
			document.Limits.BodyBytes = 1 << 20
			s := newTestServerWith(t, thingress.Options{
				Table:    func() thtable.Table { return thtable.New(document) },
				BodyPace: thmemory.PaceRule{SilenceMillis: 400, BytesPerSecond: 10_000},
			})
			const length = 60_000
			k := s.dial()
			k.send(upload("key", length))
			for sent, pauses := 0, 0; sent < length && pauses < 12; pauses++ {
				n := min(c.bytes, length-sent)
				if _, err := io.WriteString(k, strings.Repeat("x", n)); err != nil {
					break
				}
				sent += n
				time.Sleep(100 * time.Millisecond)
			}
			if c.status == 200 {
				k.send(strings.Repeat("x", length-12*c.bytes))
			}
			assert.Equal(t, k.readAnswer().StatusCode(), c.status)
		})
	}
}

// waitForRelease waits until the server has given back what answered requests held. A caller may read
// an answer before its writer has returned.
func (s *testServer) waitForRelease() {
	s.t.Helper()
	for until := time.Now().Add(testTimeout); s.server.MemoryUse().Requests > 0; time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(until), "the memory of an answered request is not given back")
	}
}

// TestBodyOfRefusedRequestIsNotHeld guards against callers without a valid key that fill the memory, and
// against a refusal that comes as another one because there is no room.
func TestBodyOfRefusedRequestIsNotHeld(t *testing.T) {
	s := newBodyServer(t, 100_000)
	body := strings.Repeat("x", 500_000)
	for _, head := range []string{upload("unknown", len(body)), strings.Replace(upload("key", len(body)), "/once/", "/nowhere/", 1)} {
		k := s.dial()
		k.send(head + body)
		status := 401
		if strings.Contains(head, "/nowhere/") {
			status = 404
		}
		assert.Equal(t, k.readAnswer().StatusCode(), status)
		k.get("/safe/1") // the body was read to its end
		assert.Equal(t, k.readAnswer().StatusCode(), 200)
		s.waitForRelease()
	}
}

// TestStalledSenderGivesWay guards against ordinary callers that are refused because others have filled
// the memory and stopped; and against a caller that gave way and does not get to know it.
func TestStalledSenderGivesWay(t *testing.T) {
	const limit = 600_000
	s := newBodyServer(t, limit)
	stalled := s.dial()
	stalled.send(upload("key", 400_000) + strings.Repeat("x", 350_000))
	time.Sleep(700 * time.Millisecond) // longer than a sender may be silent before it may have to give way
	k := s.dial()
	body := strings.Repeat("x", 300_000)
	k.send(upload("other", len(body)) + body)
	assert.Equal(t, k.readAnswer().StatusCode(), 200)
	r := stalled.readAnswer()
	assert.Equal(t, r.StatusCode(), 503)
	assert.Assert(t, r.ConnectionClose() && len(r.Header.Peek("Retry-After")) > 0)
	assert.Equal(t, s.server.MemoryUse().Counts.RequestsDisplaced, uint64(1))
}

// TestUnreadAnswersGiveWay guards against callers that send requests and read no answers.
func TestUnreadAnswersGiveWay(t *testing.T) {
	s := newBodyServer(t, 20<<20)
	s.forwarder.padding = strings.Repeat("x", 8<<20) // more than the system's buffers take
	for range 6 {
		s.dial().get("/safe/1")
		time.Sleep(600 * time.Millisecond)
	}
	k := s.dial()
	k.get("/safe/2")
	assert.Equal(t, k.readAnswer().StatusCode(), 200)
	use := s.server.MemoryUse()
	assert.Assert(t, use.Counts.RequestsDisplaced > 0 && use.Connections+use.Requests <= use.Limit, "%+v", use)
}

// TestConnectionsAreBounded guards against callers that open connections without end, and against
// new callers that are shut out by silent ones.
func TestConnectionsAreBounded(t *testing.T) {
	s := newTestServer(t)
	s.server.LimitMemory(0, 3)
	first := s.dial()
	first.get("/safe/1")
	assert.Equal(t, first.readAnswer().StatusCode(), 200)
	s.waitForRelease() // from now on it is silent
	one := s.server.MemoryUse().Connections
	silent := []*caller{s.dial(), s.dial()}
	for until := time.Now().Add(testTimeout); s.server.MemoryUse().Connections < 3*one; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	s.dial().expectClosed() // nobody has been silent for long
	time.Sleep(600 * time.Millisecond)
	k := s.dial()
	k.get("/safe/2")
	assert.Equal(t, k.readAnswer().StatusCode(), 200)
	assert.Assert(t, s.server.Connections() <= 3)
	first.expectClosed() // it has been silent for longest
	silent[0].get("/safe/3")
	assert.Equal(t, silent[0].readAnswer().StatusCode(), 200)
}
