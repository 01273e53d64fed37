package thsend_test

import (
	"bufio"
	"net"
	"testing"

	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// TestLoadIsTakenFromOwnAnswersOnly guards against loads that malformed fields or answers to other
// requests give to a target.
func TestLoadIsTakenFromOwnAnswersOnly(t *testing.T) {
	const rejected = "503 Full\r\nX-Not-Run: 1"
	none := thpick.LoadReport{}
	for _, c := range []struct {
		name, status, fields string
		id                   string
		want                 thpick.LoadReport
	}{
		{"answer", "200 OK", "X-Load: 3,0,8\r\n", "id-1", thpick.LoadReport{Running: 3, Slots: 8}},
		{"with blanks", "200 OK", "X-Load:  3 , 1, 8 \r\n", "id-1", thpick.LoadReport{Running: 3, Waiting: 1, Slots: 8}},
		{"name in lower case", "200 OK", "x-load: 3,0,8\r\n", "id-1", thpick.LoadReport{Running: 3, Slots: 8}},
		{"rejection", rejected, "X-Load: 8,24,8\r\n", "id-1", thpick.LoadReport{Running: 8, Waiting: 24, Slots: 8}},
		{"failure", "500 Oh", "X-Load: 0,0,8\r\n", "id-1", thpick.LoadReport{Slots: 8}},
		{"no field", "200 OK", "", "id-1", none},
		{"empty", "200 OK", "X-Load:\r\n", "id-1", none},
		{"two numbers", "200 OK", "X-Load: 3,0\r\n", "id-1", none},
		{"four numbers", "200 OK", "X-Load: 3,0,8,1\r\n", "id-1", none},
		{"negative", "200 OK", "X-Load: 3,-1,8\r\n", "id-1", none},
		{"fraction", "200 OK", "X-Load: 3,0.5,8\r\n", "id-1", none},
		{"sign", "200 OK", "X-Load: +3,0,8\r\n", "id-1", none},
		{"too large", "200 OK", "X-Load: 99999,0,8\r\n", "id-1", none},
		{"no slots", "200 OK", "X-Load: 3,0,0\r\n", "id-1", none},
		{"two fields", "200 OK", "X-Load: 3,0,8\r\nX-Load: 4,0,8\r\n", "id-1", none},
		{"another target at the address", "421 Misdirected", "X-Load: 3,0,8\r\n", "id-1", none},
		{"rejection without an ID", rejected, "X-Load: 3,0,8\r\n", "", none},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, _ := sendAll(t, func(_ *scriptedTarget, n net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				return write(n, "HTTP/1.1 "+c.status+"\r\nX-Id: "+c.id+"\r\nX-Stamp: s\r\n"+c.fields+"Content-Length: 0\r\n\r\n")
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].Load, c.want)
		})
	}
}
