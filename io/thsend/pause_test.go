package thsend_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// TestPauseIsTakenFromOwnRejectionsOnly guards against a pause that a target asks for in
// vain, against one for an answer that asks for none, and against values that are no time.
func TestPauseIsTakenFromOwnRejectionsOnly(t *testing.T) {
	const rejection = "503 Full"
	for _, c := range []struct {
		name, status, value, id string
		pause                   time.Duration
		isIgnored               bool
	}{
		{"seconds", rejection, "3", "id-1", 3 * time.Second, false},
		{"fraction", rejection, "0.25", "id-1", 250 * time.Millisecond, false},
		{"exponent", rejection, "2.5e0", "id-1", 2500 * time.Millisecond, false},
		{"none", rejection, "0", "id-1", 0, false},
		{"longer than a duration", rejection, "1e300", "id-1", 24 * time.Hour, false},
		{"date", rejection, "Fri, 31 Dec 1999 23:59:59 GMT", "id-1", 0, true},
		{"negative", rejection, "-1", "id-1", 0, true},
		{"not a number", rejection, "NaN", "id-1", 0, true},
		{"infinite", rejection, "Inf", "id-1", 0, true},
		{"empty", rejection, "", "id-1", 0, true},
		{"several values", rejection, "1, 2", "id-1", 0, true},
		{"answer", "200 OK", "3", "id-1", 0, false},
		{"failure", "500 Oh", "3", "id-1", 0, false},
		{"another target at the address", "421 Misdirected", "3", "id-1", 0, false},
		{"answer without an ID", rejection, "3", "", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := thclock.System{}.Now()
			rs, _ := sendAll(t, func(_ *scriptedTarget, n net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				return write(n, "HTTP/1.1 "+c.status+"\r\nX-Id: "+c.id+"\r\nX-Stamp: s\r\nX-Not-Run: 1\r\nRetry-After: "+c.value+"\r\nContent-Length: 0\r\n\r\n")
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, therror.Is(rs[0].PauseErr, therror.MessageMalformed), c.isIgnored)
			if c.pause == 0 {
				assert.Assert(t, !thclock.System{}.Now().Before(rs[0].PausedUntil))
				return
			}
			pause := rs[0].PausedUntil.Sub(before)
			assert.Assert(t, pause >= c.pause && pause < c.pause+testTimeout, "%v", pause)
		})
	}
}

// TestPauseInLateAnswerIsIgnored guards against a pause that belongs to the answer to
// another request.
func TestPauseInLateAnswerIsIgnored(t *testing.T) {
	rs, _ := sendAll(t, func(_ *scriptedTarget, n net.Conn, _ *bufio.Reader, _ int, id string) bool {
		late := "HTTP/1.1 503 Full\r\nX-Id: other\r\nX-Not-Run: 1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"
		return write(n, late+answerText(id, "own"))
	}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
	assert.Equal(t, string(rs[0].Answer.Body), "own")
	assert.Equal(t, rs[0].PausedUntil, thclock.Instant{})
}
