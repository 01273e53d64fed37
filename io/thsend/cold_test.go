package thsend_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// TestColdReportIsReadFromOwnAnswers guards against reports that are ignored, taken from the answer
// of another target at the same address, or misread.
func TestColdReportIsReadFromOwnAnswers(t *testing.T) {
	for _, c := range []struct {
		name, status, value, id string
		isReport                bool
		cold                    time.Duration
	}{
		{"milliseconds", "200 OK", "2500", "id-1", true, 2500 * time.Millisecond},
		{"warm", "200 OK", "0", "id-1", true, 0},
		{"failure", "500 Oh", "9000", "id-1", true, 9 * time.Second},
		{"too long", "200 OK", "1e300", "id-1", true, 24 * time.Hour},
		{"none", "200 OK", "", "id-1", false, 0},
		{"negative", "200 OK", "-1", "id-1", false, 0},
		{"not a number", "200 OK", "NaN", "id-1", false, 0},
		{"another target at the address", "421 Misdirected", "2500", "id-1", false, 0},
		{"another request", "200 OK", "2500", "", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := thclock.System{}.Now()
			rs, _ := sendAll(t, func(_ *scriptedTarget, n net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				return write(n, "HTTP/1.1 "+c.status+"\r\nX-Id: "+c.id+"\r\nX-Stamp: s\r\nX-Cold: "+c.value+"\r\nContent-Length: 0\r\n\r\n")
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].ColdUntil != (thclock.Instant{}), c.isReport)
			if c.isReport {
				cold := rs[0].ColdUntil.Sub(before)
				assert.Assert(t, cold >= c.cold && cold < c.cold+testTimeout, "%v", cold)
			}
		})
	}
}
