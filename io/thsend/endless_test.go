package thsend_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// endlessTimeout is a deadline that is reached only if a test fails.
const endlessTimeout = 6 * time.Second

// TestEndlessAnswerEndsAttempt guards against targets that send bytes until the connection
// is closed: the attempt must end long before its deadline, as lost, and close it.
func TestEndlessAnswerEndsAttempt(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
	for _, c := range []struct{ name, start, repeated string }{
		{"bytes that are no head", "", "\x00\x01garbage"},
		{"lines that are no head", "", "garbage\r\n"},
		{"empty lines", "", "\r\n"},
		{"head in one line", "HTTP/1.1 200 ", "OK"},
		{"head with one field", head + "X-Long: ", "long"},
		{"head of many fields", head, "X-More: 1\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"answers to others", "", strings.Replace(head, "id-1", "id-0", 1) + "Content-Length: 0\r\n\r\n"},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"one chunk", head + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", "0123456789abcdef"},
		{"chunk without a size", head + "Transfer-Encoding: chunked\r\n\r\n", "f"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
		{"body without a length", head + "\r\n", "body"},
		{"body with a huge length", head + "Content-Length: 99999999999\r\n\r\n", "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			block := strings.Repeat(c.repeated, 1+32<<10/len(c.repeated))
			s := newScriptedTarget(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				defer close(closed)
				more := write(k, c.start)
				for more {
					more = write(k, block)
				}
				return false
			})
			r := newClient().Send(context.Background(), thtable.Target{ID: "t", Address: s.address}, newRequest("id-1", thtable.AtMostOnce, endlessTimeout), thsend.ConnectionOptions{})
			assert.Equal(t, r.End, thpick.Lost, "%v", r.Err)
			<-closed
		})
	}
}

// TestManyLongAnswersFitInMemory guards against a VM that runs out of memory because many
// targets begin long answers that do not end.
func TestManyLongAnswersFitInMemory(t *testing.T) {
	const (
		attempts       = 12
		limit          = 32 << 20
		announcedBytes = 10_000_000
	)
	for _, c := range []struct {
		name           string
		field          string
		sentBytes      int
		maxOutstanding int
	}{
		{"announced", "Content-Length: 10000000", 0, limit / announcedBytes},
		{"announced and sent", "Content-Length: 10000000", 8 << 20, limit / announcedBytes},
		{"sent", "Connection: close", 8 << 20, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newScriptedTarget(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
				if id == "short" {
					return write(k, answerText(id, "whole"))
				}
				write(k, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\n"+c.field+"\r\n\r\n"+strings.Repeat("x", c.sentBytes))
				<-ctx.Done() // the rest does not come
				return false
			})
			client := newClient()
			client.LimitUnfinishedBytes(limit)
			send := func(id string) thsend.Result {
				return client.Send(ctx, thtable.Target{ID: "t", Address: s.address}, newRequest(id, thtable.AtMostOnce, endlessTimeout), thsend.ConnectionOptions{})
			}
			ended := make(chan thsend.Result, attempts)
			for range attempts {
				go func() { ended <- send("long") }()
			}
			for range attempts - c.maxOutstanding {
				r := <-ended
				assert.Equal(t, r.End, thpick.Lost, "%v", r.Err)
			}
			r := send("short")
			assert.Equal(t, r.End, thpick.Answered, "%v", r.Err)
		})
	}
}
