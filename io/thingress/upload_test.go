package thingress_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"

	"gotest.tools/v3/assert"
)

// TestTimeToSendBodyCountsAgainstDeadline guards against callers that get no answer by their
// deadline because the time that they took to send a body was granted again.
func TestTimeToSendBodyCountsAgainstDeadline(t *testing.T) {
	const (
		head     = "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\nX-Deadline: 700\r\n"
		sendTime = 150 * time.Millisecond
		// arrivalTime is how long the first byte may take until the server has read it.
		arrivalTime = 50 * time.Millisecond
	)
	for _, c := range []struct{ name, first, rest string }{
		{"slow head", head, "\r\nhello"},
		{"slow body", head + "\r\nhe", "llo"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t)
			k := s.dial()
			k.send(c.first)
			time.Sleep(sendTime)
			k.send(c.rest)
			expect(t, s.forwarder.started, "/once/1")
			s.forwarder.mu.Lock()
			defer s.forwarder.mu.Unlock()
			q := s.forwarder.requests[0]
			left := q.TimeLeft(thclock.System{}.Now())
			assert.Assert(t, left <= 700*time.Millisecond-sendTime+arrivalTime, "%s are left of 700 ms after %s", left, sendTime)
			assert.Equal(t, string(q.Body.Bytes()), "hello")
		})
	}
}

// TestBodyThatMissesDeadlineIsRefused guards against a caller that waits for an answer after
// its deadline, since its body takes longer to arrive.
func TestBodyThatMissesDeadlineIsRefused(t *testing.T) {
	s := newTestServer(t)
	k := s.dial()
	start := time.Now()
	k.send("POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\nX-Deadline: 200\r\n\r\nhe")
	r := k.readAnswer()
	assert.Equal(t, r.StatusCode(), 408)
	assert.Assert(t, r.ConnectionClose())
	assert.Assert(t, time.Since(start) < time.Second, "refused after %s", time.Since(start))
	s.forwarder.mu.Lock()
	defer s.forwarder.mu.Unlock()
	assert.Equal(t, len(s.forwarder.requests), 0)
}
