package thlog_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/io/thlog"

	"gotest.tools/v3/assert"
)

// patience bounds every wait of these tests; it is reached only by a failure.
const patience = 10 * time.Second

type line struct {
	Name       string `json:"name"`
	VM         string `json:"vm"`
	Of         string `json:"of"`
	OverBudget int    `json:"overBudget"`
}

// recorder keeps the lines that it is given.
type recorder struct {
	mu    sync.Mutex
	lines []line
}

func (r *recorder) Write(data []byte) (int, error) {
	var l line
	if err := json.Unmarshal(bytes.TrimSpace(data), &l); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
	return len(data), nil
}

func (r *recorder) count(match func(line) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.lines {
		if match(l) {
			n++
		}
	}
	return n
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "no %s", what)
	}
}

// TestAFloodLeavesRoomForRareEvents writes far more lines of one event than
// its budget, and one line of another.
func TestAFloodLeavesRoomForRareEvents(t *testing.T) {
	const flood = 300
	r := &recorder{}
	l := thlog.New(r, "vm-1")
	for range flood {
		l.Log(thevent.RequestAnswered)
	}
	l.Log(thevent.StoreLost)
	await(t, "line of the rare event", func() bool {
		return r.count(func(l line) bool { return l.Name == "storeLost" && l.VM == "vm-1" }) == 1
	})
	time.Sleep(1100 * time.Millisecond) // the next second's budget counts what was left out
	l.Log(thevent.RequestAnswered)
	await(t, "count of lines left out", func() bool {
		written := r.count(func(l line) bool { return l.Name == "requestAnswered" })
		leftOut := 0
		r.mu.Lock()
		for _, l := range r.lines {
			if l.Of == "requestAnswered" {
				leftOut += l.OverBudget
			}
		}
		r.mu.Unlock()
		return written < flood/2 && written+leftOut == flood+1
	})
}

// stuck is a reader of the log that never takes a line.
type stuck struct{ release chan struct{} }

func (s stuck) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

func TestAStuckReaderHoldsNobodyUp(t *testing.T) {
	s := stuck{make(chan struct{})}
	defer close(s.release)
	l := thlog.New(s, "vm-1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for id := range thevent.ID(900) {
			for range 30 {
				if _, ok := thevent.Lookup(id); ok {
					l.Log(id)
				}
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("the writer of the log waits for its reader")
	}
}
