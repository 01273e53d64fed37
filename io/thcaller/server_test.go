package thcaller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/io/thcaller"

	"gotest.tools/v3/assert"
)

// fakes stand for everything behind the callers' side.
type fakes struct {
	mu     sync.Mutex
	config thconfig.Config
	fresh  error
	admit  error
	run    func(ctx context.Context, q *threquest.Request) (*threquest.Answer, error)
	seen   []*threquest.Request
	key    string
}

func (f *fakes) Admit(context.Context, thconfig.Customer) error { return f.admit }

func (f *fakes) Run(ctx context.Context, q *threquest.Request) (*threquest.Answer, error) {
	f.mu.Lock()
	f.seen = append(f.seen, q)
	f.mu.Unlock()
	if f.run != nil {
		return f.run(ctx, q)
	}
	return &threquest.Answer{
		Status:  http.StatusOK,
		Headers: []threquest.Header{{Name: "Content-Type", Value: "text/plain"}, {Name: "Connection", Value: "close"}, {Name: "Tamarack-Outcome", Value: "forged"}},
		Body:    []byte("whole"),
	}, nil
}

func newFakes(t *testing.T) *fakes {
	t.Helper()
	f := &fakes{}
	d := thconfig.Deployment{
		Name: "cordial",
		Services: []thconfig.Service{{
			Name: "inventory", Slots: 2, Connections: 300, TimeoutMillis: 1000,
			Targets: []thconfig.Target{{Address: "127.0.0.1:9001", Zone: "a"}},
		}},
		Routes: []thconfig.Route{
			{Name: "stock", Prefix: "/stock", Service: "inventory"},
			{Name: "labs", Prefix: "/labs", Service: "inventory"},
			{Name: "prices", Prefix: "/prices", Service: "inventory", Open: true},
		},
	}
	f.apply(t, thconfig.PutDeployment{Deployment: d, Customers: []thconfig.Customer{{Name: "depot", Rate: 5, Burst: 3, Routes: []string{"stock"}}}})
	text, key := thconfig.NewKey("depot", "k1", []byte("0123456789abcdef"))
	f.apply(t, thconfig.IssueKey{Key: key})
	f.key = text
	return f
}

func (f *fakes) apply(t *testing.T, change thconfig.Change) {
	t.Helper()
	r, err := thconfig.NextRecord(f.config, "change", change)
	assert.NilError(t, err)
	f.config, err = f.config.WithRecord(r)
	assert.NilError(t, err)
}

func (f *fakes) start(t *testing.T) (*thcaller.Server, string) {
	t.Helper()
	s := thcaller.New(thcaller.Options{
		Config: func() thconfig.Config { return f.config }, CheckFresh: func() error { return f.fresh },
		Limiter: f, Runner: f, Clock: thclock.System{}, MaxBodyBytes: 1024, IDPrefix: "vm1",
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return s, l.Addr().String()
}

// reply is what a caller reads of an answer besides its body.
type reply struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// raw sends the text as it is and reads one answer.
func raw(t *testing.T, address, text string) (reply, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte(text))
	assert.NilError(t, err)
	return readAnswer(t, bufio.NewReader(c), text)
}

func readAnswer(t *testing.T, r *bufio.Reader, text string) (reply, string) {
	t.Helper()
	method, _, _ := strings.Cut(text, " ")
	a, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	var b strings.Builder
	_, err = bufio.NewReader(a.Body).WriteTo(&b)
	assert.NilError(t, err)
	return reply{StatusCode: a.StatusCode, Header: a.Header, Close: a.Close}, b.String()
}

func TestRefusalsSayTheirKindAndThatNothingRan(t *testing.T) {
	f := newFakes(t)
	_, address := f.start(t)
	good := "Authorization: Bearer " + f.key + "\r\n"
	cases := []struct {
		name, request, kind string
		status              int
	}{
		{"no key", "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n", "keyMissing", 401},
		{"no bearer", "GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: " + f.key + "\r\n\r\n", "keyMissing", 401},
		{"unknown key", "GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer th.k1.00\r\n\r\n", "keyUnknown", 401},
		{"two keys", "GET /stock HTTP/1.1\r\nHost: x\r\n" + good + good + "\r\n", "requestMalformed", 400},
		{"unknown route without key", "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", "keyMissing", 401},
		{"unknown route", "GET /x HTTP/1.1\r\nHost: x\r\n" + good + "\r\n", "routeUnknown", 404},
		{"another's route", "GET /labs HTTP/1.1\r\nHost: x\r\n" + good + "\r\n", "routeForbidden", 403},
		{"key in the query", "GET /stock?key=" + f.key + " HTTP/1.1\r\nHost: x\r\n" + good + "\r\n", "requestMalformed", 400},
		{"key in another field", "GET /stock HTTP/1.1\r\nHost: x\r\nX-Copy: " + f.key + "\r\n" + good + "\r\n", "requestMalformed", 400},
		{"bad timeout", "GET /stock HTTP/1.1\r\nHost: x\r\nTamarack-Timeout-Millis: soon\r\n" + good + "\r\n", "requestMalformed", 400},
		{"too large", "POST /stock HTTP/1.1\r\nHost: x\r\n" + good + "Content-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), "requestTooLarge", 413},
		{"no request", "nonsense\r\n\r\n", "requestMalformed", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, body := raw(t, address, c.request)
			assert.Equal(t, a.StatusCode, c.status, body)
			assert.Equal(t, a.Header.Get("Tamarack-Error"), c.kind)
			assert.Equal(t, a.Header.Get("Tamarack-Outcome"), "notRun")
			var b struct{ Error, Outcome string }
			assert.NilError(t, json.Unmarshal([]byte(body), &b), body)
			assert.Equal(t, b.Error, c.kind)
			assert.Equal(t, b.Outcome, "notRun")
		})
	}
	assert.Equal(t, len(f.seen), 0)
}

func TestKindsOfTheStepsBehind(t *testing.T) {
	for _, k := range therror.Kinds() {
		t.Run(k.String(), func(t *testing.T) {
			f := newFakes(t)
			f.run = func(context.Context, *threquest.Request) (*threquest.Answer, error) {
				return nil, therror.Wrap(k, fmt.Errorf("10.1.2.3 failed"), "detail")
			}
			_, address := f.start(t)
			a, body := raw(t, address, "GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+f.key+"\r\n\r\n")
			assert.Equal(t, a.StatusCode, k.Answer().Status)
			assert.Equal(t, a.Header.Get("Tamarack-Outcome"), string(k.Answer().Outcome))
			assert.Assert(t, !strings.Contains(body, "10.1.2.3"), "a cause was shown: %s", body)
		})
	}
}

func TestStaleVMServesOpenRoutesOnly(t *testing.T) {
	f := newFakes(t)
	f.fresh = therror.New(therror.NotFresh, "stale")
	_, address := f.start(t)
	a, _ := raw(t, address, "GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+f.key+"\r\n\r\n")
	assert.Equal(t, a.Header.Get("Tamarack-Error"), "notFresh")
	a, body := raw(t, address, "GET /prices HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Equal(t, a.StatusCode, http.StatusOK)
	assert.Equal(t, body, "whole")
	assert.Equal(t, f.seen[0].Customer.Name, "")
}

func TestTargetSeesNeitherKeyNorForgedFields(t *testing.T) {
	f := newFakes(t)
	_, address := f.start(t)
	a, body := raw(t, address, "POST /stock/1?x=1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+f.key+"\r\nTamarack-Customer: wholesaler\r\n"+
		"Connection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\nIdempotency-Key: o1\r\nContent-Length: 3\r\n\r\nabc")
	assert.Equal(t, body, "whole")
	assert.Equal(t, a.Header.Get("Tamarack-Outcome"), "", "a target's field passed for the fleet's")
	q := f.seen[0]
	assert.Equal(t, q.URI, "/stock/1?x=1")
	assert.Equal(t, string(q.Body), "abc")
	assert.Equal(t, q.IdempotencyKey, "o1")
	fields := map[string]string{}
	for _, h := range q.Headers {
		assert.Assert(t, !strings.Contains(h.Value, f.key))
		fields[h.Name] = h.Value
	}
	assert.Equal(t, fields["Tamarack-Customer"], "depot")
	assert.Equal(t, fields["X-Kept"], "2")
	_, hop := fields["X-Hop"]
	assert.Assert(t, !hop)
}

func TestWithdrawnKeyOnKeptConnection(t *testing.T) {
	f := newFakes(t)
	_, address := f.start(t)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	text := "GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + f.key + "\r\n\r\n"
	_, err = c.Write([]byte(text))
	assert.NilError(t, err)
	a, _ := readAnswer(t, r, text)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	f.apply(t, thconfig.WithdrawKey{ID: "k1"})
	_, err = c.Write([]byte(text))
	assert.NilError(t, err)
	a, _ = readAnswer(t, r, text)
	assert.Equal(t, a.Header.Get("Tamarack-Error"), "keyUnknown")
}

func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	f := newFakes(t)
	cancelled := make(chan struct{})
	started := make(chan struct{})
	f.run = func(ctx context.Context, _ *threquest.Request) (*threquest.Answer, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return nil, therror.New(therror.CallerGone, "gone")
	}
	_, address := f.start(t)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = c.Write([]byte("GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + f.key + "\r\n\r\n"))
	assert.NilError(t, err)
	<-started
	assert.NilError(t, c.Close())
	<-cancelled
}

func TestDeadlineIsTheSoonerOfCallersAndServices(t *testing.T) {
	for text, most := range map[string]time.Duration{"200": 200 * time.Millisecond, "60000": time.Second} {
		f := newFakes(t)
		_, address := f.start(t)
		began := thclock.System{}.Now()
		raw(t, address, "GET /stock HTTP/1.1\r\nHost: x\r\nTamarack-Timeout-Millis: "+text+"\r\nAuthorization: Bearer "+f.key+"\r\n\r\n")
		ended := thclock.System{}.Now()
		deadline := f.seen[0].Deadline
		assert.Assert(t, !deadline.Before(began.Add(most)))
		assert.Assert(t, !ended.Add(most).Before(deadline))
	}
}

func TestDrainFinishesWhatIsInFlight(t *testing.T) {
	f := newFakes(t)
	started, release := make(chan struct{}), make(chan struct{})
	f.run = func(context.Context, *threquest.Request) (*threquest.Answer, error) {
		close(started)
		<-release
		return &threquest.Answer{Status: http.StatusOK, Body: []byte("late but whole")}, nil
	}
	s, address := f.start(t)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	text := "GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + f.key + "\r\n\r\n"
	_, err = c.Write([]byte(text))
	assert.NilError(t, err)
	<-started
	s.Drain()
	ready, _ := raw(t, address, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	close(release)
	a, body := readAnswer(t, bufio.NewReader(c), text)
	assert.Equal(t, body, "late but whole")
	assert.Assert(t, a.Close, "a draining VM asks its callers to leave")
	assert.NilError(t, <-stopped)
}

func TestHeadHasNoBody(t *testing.T) {
	f := newFakes(t)
	_, address := f.start(t)
	a, body := raw(t, address, "HEAD /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+f.key+"\r\n\r\n")
	assert.Equal(t, a.StatusCode, http.StatusOK)
	assert.Equal(t, body, "")
}
