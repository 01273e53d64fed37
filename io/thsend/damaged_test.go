package thsend_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// A target stopped in the middle of its answer and closed, and the caller got an answer with an
// empty or short body that was framed as whole.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n"
	for _, c := range []struct {
		name, text string
		// wholeFrom is the length from which the answer is whole.
		wholeFrom int
	}{
		{"with a length", head + "Content-Length: 12\r\n\r\nhello, world", len(head) + len("Content-Length: 12\r\n\r\nhello, world")},
		{"without a body", head + "Content-Length: 0\r\n\r\n", len(head) + len("Content-Length: 0\r\n\r\n")},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: id-1\r\nX-Stamp: s\r\n\r\nhello, world", len(head) + len("Content-Length: 12\r\n\r\nhello, world")},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", len(head) + len("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")},
		{"to the end of the connection", head + "\r\nhello", len(head) + len("\r\n")},
	} {
		t.Run(c.name, func(t *testing.T) {
			var length int
			s := newScriptedTarget(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				write(k, c.text[:length])
				return false
			})
			client := newClient()
			for length = 0; length <= len(c.text); length++ {
				q := newRequest("id-1", thtable.AtMostOnce, testTimeout)
				r := client.Send(t.Context(), thtable.Target{ID: "t1", Address: s.address}, q, thsend.ConnectionOptions{})
				assert.Equal(t, r.End == thpick.Answered, length >= c.wholeFrom, "%d bytes, %q: %v", length, c.text[:length], r.Err)
				assert.Equal(t, r.Answer != nil, length >= c.wholeFrom)
			}
		})
	}
}

// A target wrote an earlier rejection once more on a kept connection, and the caller of the next
// request was told that it had not run while the target ran it.
func TestEarlierRejectionIsNotTheNextRequests(t *testing.T) {
	const withoutID = "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n"
	rejection := strings.Replace(answerText("id-1", "", "X-Not-Run: 1"), "200 OK", "503 Full", 1)
	for _, c := range []struct {
		name, first, again string
		nextID             string
	}{
		{"with its ID", rejection, rejection, "id-2"},
		{"without an ID", fmt.Sprintf(withoutID, "503 Full", "X-Not-Run: 1\r\n"), fmt.Sprintf(withoutID, "503 Full", "X-Not-Run: 1\r\n"), "id-2"},
		{"as another target", fmt.Sprintf(withoutID, "421 Misdirected", ""), fmt.Sprintf(withoutID, "421 Misdirected", ""), "id-2"},
		{"to a caller that uses the ID again", rejection, rejection, "id-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ran := make(chan struct{}, 1)
			var first net.Conn
			rs, _ := sendAll(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, number int, id string) bool {
				if number == 1 {
					first = k
					return write(k, c.first)
				}
				if number == 2 {
					if k == first {
						write(k, c.again)
					}
					time.Sleep(20 * time.Millisecond) // the request runs meanwhile
					ran <- struct{}{}
				}
				return write(k, answerText(id, "ran"))
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout), newRequest(c.nextID, thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].End, thpick.NotRun, "%v", rs[0].Err)
			assert.Assert(t, rs[1].End != thpick.NotRun && rs[1].End != thpick.NotSent, "%v: %v", rs[1].End, rs[1].Err)
			<-ran
		})
	}
}

// An answer with a status that promises callers that the request has not run is passed on only if
// the target assures that.
func TestStatusThatPromisesNotRunNeedsTheTargetsAssurance(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			rs, _ := sendAll(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
				return write(k, strings.Replace(answerText(id, "ran"), "200 OK", status, 1))
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].End, thpick.Lost, "%v", rs[0].Err)
			assert.Assert(t, rs[0].Answer == nil)
		})
	}
}

// Callers got answers with the status 000, and answers whose length or fields their targets had not
// sent, since a field's name held a blank or a control character.
func TestAnswerWithMalformedHeadIsNotPassedOn(t *testing.T) {
	const id = "X-Id: id-1\r\nX-Stamp: s\r\n"
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n" + id, "HTTP/1.1 099 OK\r\n" + id, "HTTP/1.1 600 OK\r\n" + id, "HTTP/1.1 999 OK\r\n" + id,
		"HTTP/1.1 20 OK\r\n" + id, "HTTP/1.1 2000 OK\r\n" + id, "HTTP/1.1 +20 OK\r\n" + id, "HTTP/1.1  200 OK\r\n" + id, "HTTP/1.1 200OK\r\n" + id,
		"HTTP/1.1\t200 OK\r\n" + id, "HTTP/1.9 200 OK\r\n" + id, "HTTP/2.0 200 OK\r\n" + id, "http/1.1 200 OK\r\n" + id, "200 OK\r\n" + id,
		"\r\nHTTP/1.1 200 OK\r\n" + id, "HTTP/1.1 200 O\x01K\r\n" + id, "HTTP/1.1 200 OK\n" + id,
		"HTTP/1.1 200 OK\r\n" + id + "X Field: v\r\n", "HTTP/1.1 200 OK\r\n" + id + "X-Field : v\r\n", "HTTP/1.1 200 OK\r\n" + id + "X-Field\t: v\r\n",
		"HTTP/1.1 200 OK\r\n" + id + " X-Field: v\r\n", "HTTP/1.1 200 OK\r\n" + id + "\tX-Field: v\r\n", "HTTP/1.1 200 OK\r\n X-Field: v\r\n" + id,
		"HTTP/1.1 200 OK\r\n" + id + "X\x01Field: v\r\n", "HTTP/1.1 200 OK\r\n" + id + "X\x00Field: v\r\n", "HTTP/1.1 200 OK\r\n" + id + "\x7f: v\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "X-F\u00e9: v\r\n", "HTTP/1.1 200 OK\r\n" + id + "(X): v\r\n", "HTTP/1.1 200 OK\r\n" + id + ": v\r\n", "HTTP/1.1 200 OK\r\n" + id + "X-Field\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "X-Field: a\x00b\r\n", "HTTP/1.1 200 OK\r\n" + id + "X-Field: a\rX-Other: b\r\n", "HTTP/1.1 200 OK\r\n" + id + "X-Field: a\nX-Other: b\r\n",
		"HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n",
	} {
		// Readers that skip the damaged line take the body for the first five of these bytes.
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			rs, _ := sendAll(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, _ string) bool {
				return write(k, head+"Content-Length: 5\r\n\r\nhello")
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].End, thpick.Lost, "%v", rs[0].Err)
			assert.Assert(t, rs[0].Answer == nil)
		})
	}
}

// An answer with a length and chunks was passed on by its chunks, while others between the two may go
// by the length.
func TestAnswerWithLengthAndChunksIsNotPassedOn(t *testing.T) {
	for _, fields := range []string{"Content-Length: 5\r\nTransfer-Encoding: chunked", "transfer-encoding: chunked\r\nContent-length:5", "Transfer-Encoding: gzip, chunked\r\nContent-Length: 15"} {
		t.Run(fields, func(t *testing.T) {
			rs, _ := sendAll(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
				return write(k, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\n"+fields+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
			}, newRequest("id-1", thtable.AtMostOnce, testTimeout))
			assert.Equal(t, rs[0].End, thpick.Lost, "%v", rs[0].Err)
			assert.Assert(t, rs[0].Answer == nil)
		})
	}
}

// A target sent part of an answer without a length and reset the connection while it was still
// being sent the request, and the caller got that part as a whole answer.
func TestEarlyAnswerWithoutLengthIsNotWholeAfterReset(t *testing.T) {
	s := newScriptedTarget(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
		write(k, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\n\r\npart of the ans", id))
		time.Sleep(50 * time.Millisecond) // the client gets this before the reset
		assert.Check(t, k.(*net.TCPConn).SetLinger(0))
		return false
	})
	client := newClient()
	for range 10 {
		q := newRequest("id-1", thtable.Upload, testTimeout)
		q.Method, q.Body = "POST", thmessage.Body{make([]byte, 32<<20)}
		r := client.Send(t.Context(), thtable.Target{ID: "t1", Address: s.address}, q, thsend.ConnectionOptions{})
		assert.Equal(t, r.End, thpick.Lost, "%v", r.Err)
		assert.Assert(t, r.Answer == nil)
	}
}
