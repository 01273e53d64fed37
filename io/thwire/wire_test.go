package thwire_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

type request struct {
	Text string `json:"text"`
}

type answer struct {
	From string `json:"from"`
	Text string `json:"text"`
}

// eventCounter is a logger that counts the events of each number.
type eventCounter struct {
	mu sync.Mutex
	n  map[thevent.ID]int
}

func (c *eventCounter) Log(id thevent.ID, _ ...thevent.Field) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[thevent.ID]int)
	}
	c.n[id]++
}

func (c *eventCounter) count(id thevent.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[id]
}

// startServer starts a server with the call /echo, which fails with
// ChangeConflict for the text "conflict", and returns its address.
func startServer(t *testing.T, log thevent.Logger) string {
	t.Helper()
	s := &thwire.Server{Credential: "secret", MaxBodyBytes: 1024, Log: log}
	thwire.Handle(s, "/echo", func(from thwire.Sender, q request) (answer, error) {
		if q.Text == "conflict" {
			return answer{}, therror.New(therror.ChangeConflict, "another won")
		}
		return answer{From: from.ID, Text: q.Text}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// TestCallReturnsAnswersAndErrorKinds guards against an error of the server that
// reaches the client with another kind.
func TestCallReturnsAnswersAndErrorKinds(t *testing.T) {
	address := startServer(t, nil)
	c := thwire.NewClient(thwire.ClientOptions{Credential: "secret", From: "vm1"})
	a, err := thwire.Call[request, answer](t.Context(), c, address, "/echo", request{Text: "x"})
	assert.NilError(t, err)
	assert.Equal(t, a, answer{From: "vm1", Text: "x"})
	_, err = thwire.Call[request, answer](t.Context(), c, address, "/echo", request{Text: "conflict"})
	assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
	_, err = thwire.Call[request, answer](t.Context(), c, address, "/nothing", request{})
	assert.Assert(t, therror.Is(err, therror.NotFound), "%v", err)
}

// TestInvalidCallsAreRefusedAndLoggedOncePerSource guards against a source that
// fills the log with its invalid calls: all of them come from one address.
func TestInvalidCallsAreRefusedAndLoggedOncePerSource(t *testing.T) {
	log := &eventCounter{}
	address := startServer(t, log)
	cases := []struct {
		name, credential, body string
		status                 int
	}{
		{"no credential", "", `{"text":"x"}`, http.StatusUnauthorized},
		{"wrong credential", "guess", `{"text":"x"}`, http.StatusUnauthorized},
		{"not JSON", "secret", `{"text":`, http.StatusBadRequest},
		{"wrong type", "secret", `{"text":7}`, http.StatusBadRequest},
		{"too large", "secret", `{"text":"` + strings.Repeat("x", 2048) + `"}`, http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/echo", bytes.NewBufferString(c.body))
			assert.NilError(t, err)
			q.Header.Set("Tamarack-Credential", c.credential)
			a, err := http.DefaultClient.Do(q)
			assert.NilError(t, err)
			defer func() { _ = a.Body.Close() }()
			assert.Equal(t, a.StatusCode, c.status)
		})
	}
	assert.Equal(t, log.count(thevent.PeerMessageDropped), 1)
}

// TestServerWithoutCredentialRefusesEveryCall guards against a server without a
// credential that accepts calls which carry none either.
func TestServerWithoutCredentialRefusesEveryCall(t *testing.T) {
	log := &eventCounter{}
	s := &thwire.Server{Log: log, RefusedEvent: thevent.OperatorRefused}
	thwire.Handle(s, "/echo", func(thwire.Sender, request) (answer, error) { return answer{}, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	defer func() { _ = s.Shutdown() }()
	_, err = thwire.Call[request, answer](t.Context(), thwire.NewClient(thwire.ClientOptions{}), l.Addr().String(), "/echo", request{})
	assert.Assert(t, therror.Is(err, therror.CredentialMissing), "%v", err)
	assert.Equal(t, log.count(thevent.OperatorRefused), 1)
}

// TestCallIsNeverRetried guards against an HTTP client that sends a call again
// after the server read it and closed the connection, which would run it twice.
// It covers a new connection and one that has served a call before.
func TestCallIsNeverRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	var calls atomic.Int64
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = w.Write([]byte(`{}`))
			return
		}
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c := thwire.NewClient(thwire.ClientOptions{})
	for i := range 3 {
		_, err = thwire.Call[request, answer](context.Background(), c, l.Addr().String(), "/echo", request{})
		assert.Equal(t, err == nil, i == 0)
		assert.Equal(t, calls.Load(), int64(i+1))
	}
	assert.Assert(t, therror.Is(err, therror.AnswerLost), "%v", err)
}

// TestRefusedConnectionFailsWithConnectFailed guards against a call that was
// never sent and is reported as possibly executed.
func TestRefusedConnectionFailsWithConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = thwire.Call[request, answer](t.Context(), thwire.NewClient(thwire.ClientOptions{}), address, "/echo", request{})
	assert.Assert(t, therror.Is(err, therror.ConnectFailed), "%v", err)
}

// A long answer must reach the caller whole, in fewer bytes than its text has.
func TestLongAnswersAreCompressed(t *testing.T) {
	long := strings.Repeat("one of many similar rows, ", 1000)
	encoded, err := thwire.Encode(answer{Text: long})
	assert.NilError(t, err)
	s := &thwire.Server{Credential: "secret"}
	thwire.Handle(s, "/plain", func(thwire.Sender, request) (answer, error) { return answer{Text: long}, nil })
	thwire.Handle(s, "/encoded", func(thwire.Sender, request) (thwire.Encoded, error) { return encoded, nil })
	thwire.Handle(s, "/none", func(thwire.Sender, request) (thwire.Encoded, error) { return thwire.Encoded{}, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { _ = s.Shutdown() })
	c := thwire.NewClient(thwire.ClientOptions{Credential: "secret"})
	for _, path := range []string{"/plain", "/encoded"} {
		got, size, err := thwire.CallSized[request, answer](context.Background(), c, l.Addr().String(), path, request{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, got.Text, long)
		assert.Assert(t, size < len(long)/10, "%d bytes for %d", size, len(long))
	}
	got, err := thwire.Call[request, answer](context.Background(), c, l.Addr().String(), "/none", request{})
	assert.NilError(t, err)
	assert.Equal(t, got, answer{})
}

// A caller that does not accept compressed answers, such as an operator's script,
// must get plain JSON.
func TestAnswersArePlainUnlessCallerAcceptsCompression(t *testing.T) {
	long := strings.Repeat("x", 5000)
	s := &thwire.Server{Credential: "secret"}
	thwire.Handle(s, "/long", func(thwire.Sender, request) (answer, error) { return answer{Text: long}, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { _ = s.Shutdown() })
	q, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/long", strings.NewReader("{}"))
	assert.NilError(t, err)
	q.Header.Set("Tamarack-Credential", "secret")
	a, err := (&http.Transport{DisableCompression: true}).RoundTrip(q)
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(a.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body.String(), long))
}
