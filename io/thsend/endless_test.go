package thsend_test

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
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

// memoryBytes returns how much memory the Go runtime holds.
func memoryBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys - m.HeapReleased
}

// TestEndlessAnswersFitInMemory guards against a VM that keeps all that faulty targets send
// and runs out of memory, and against answers of other targets that are lost meanwhile.
func TestEndlessAnswersFitInMemory(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Stamp: s\r\n"
		// memory is that of a VM. The other limits are the shares of it that a VM uses.
		memory          = 128 << 20
		runtimeLimit    = memory * 7 / 10
		unfinishedLimit = memory * 15 / 100
	)
	for _, c := range []struct {
		name, start, repeated string
		attempts              int
		// sentBytes is after how many bytes the target falls silent; 0 means never.
		sentBytes int
	}{
		{"bytes that are no head", "", "\x00\x01garbage", 24, 0},
		{"head with one field", head + "X-Long: ", "long", 24, 0},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", 24, 0},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", 24, 0},
		{"one chunk", head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", "0123456789abcdef", 24, 0},
		{"body without a length", head + "\r\n", "body", 24, 0},
		{"many bodies that stop short", head + "Content-Length: 250000\r\n\r\n", "body", 1000, 220_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			block := strings.Repeat(c.repeated, 1+32<<10/len(c.repeated))
			// silent counts the answers of which the target sends no more.
			var silent atomic.Int64
			s := newScriptedTarget(t, func(_ *scriptedTarget, k net.Conn, _ *bufio.Reader, _ int, id string) bool {
				if id == "short" {
					return write(k, answerText(id, "whole"))
				}
				sent := len(c.start)
				for more := write(k, c.start); more && (c.sentBytes == 0 || sent < c.sentBytes); sent += len(block) {
					more = write(k, block)
				}
				if silent.Add(1); c.sentBytes > 0 {
					<-ctx.Done()
				}
				return false
			})
			client := newClient()
			client.LimitUnfinishedBytes(unfinishedLimit)
			send := func(id string) thsend.Result {
				return client.Send(ctx, thtable.Target{ID: "t", Address: s.address}, newRequest(id, thtable.AtMostOnce, endlessTimeout), thsend.ConnectionOptions{MaxConnections: 2 * c.attempts})
			}
			debug.FreeOSMemory()
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(runtimeLimit))
			defer debug.SetGCPercent(debug.SetGCPercent(200))
			ended := make(chan thsend.Result, c.attempts)
			for range c.attempts {
				go func() { ended <- send("id") }()
			}
			highest := uint64(0)
			const sampledFor = 2 * time.Second
			for until := time.Now().Add(sampledFor); time.Now().Before(until) && silent.Load() < int64(c.attempts); time.Sleep(time.Millisecond) {
				highest = max(highest, memoryBytes())
			}
			r := send("short")
			assert.Equal(t, r.End, thpick.Answered, "%v", r.Err)
			cancel()
			for range c.attempts {
				r := <-ended
				assert.Assert(t, r.End != thpick.Answered)
			}
			assert.Assert(t, highest < memory, "%d MB of %d MB", highest>>20, memory>>20)
			t.Logf("%d MB of %d MB", highest>>20, memory>>20)
		})
	}
}
