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

// testTimeout bounds every wait in these tests; only a failing test reaches it.
const testTimeout = 10 * time.Second

// line holds the fields of a log line that the tests check.
type line struct {
	Name       string `json:"name"`
	VM         string `json:"vm"`
	Of         string `json:"of"`
	OverBudget int    `json:"overBudget"`
}

// lineRecorder is a writer that records the lines written to it.
type lineRecorder struct {
	mu    sync.Mutex
	lines []line
}

func (r *lineRecorder) Write(data []byte) (int, error) {
	var l line
	if err := json.Unmarshal(bytes.TrimSpace(data), &l); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
	return len(data), nil
}

func (r *lineRecorder) count(match func(line) bool) int {
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

// waitFor polls done and fails the test if it stays false for testTimeout.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no %s", what)
	}
}

// TestFrequentEventsDoNotDisplaceRareOnes guards against a rare event that is lost
// among far more lines of another event than its limit, and against lines that
// are left out without being counted.
func TestFrequentEventsDoNotDisplaceRareOnes(t *testing.T) {
	const frequentLines = 300
	r := &lineRecorder{}
	l := thlog.New(r, "vm-1")
	for range frequentLines {
		l.Log(thevent.RequestAnswered)
	}
	l.Log(thevent.StoreLost)
	waitFor(t, "line of the rare event", func() bool {
		return r.count(func(l line) bool { return l.Name == "storeLost" && l.VM == "vm-1" }) == 1
	})
	time.Sleep(1100 * time.Millisecond) // the first line of a later second reports the lines left out
	l.Log(thevent.RequestAnswered)
	waitFor(t, "count of lines left out", func() bool {
		written := r.count(func(l line) bool { return l.Name == "requestAnswered" })
		leftOut := 0
		r.mu.Lock()
		for _, l := range r.lines {
			if l.Of == "requestAnswered" {
				leftOut += l.OverBudget
			}
		}
		r.mu.Unlock()
		return written < frequentLines/2 && written+leftOut == frequentLines+1
	})
}

// stuckWriter blocks in Write until release is closed.
type stuckWriter struct{ release chan struct{} }

func (s stuckWriter) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// TestStuckWriterDoesNotBlockLogging guards against a process that stops because
// nothing reads its log. It logs each event 30 times, so that even the lines
// within the limits, 20 of each event, are more than the queue holds.
func TestStuckWriterDoesNotBlockLogging(t *testing.T) {
	s := stuckWriter{make(chan struct{})}
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
	case <-time.After(testTimeout):
		t.Fatal("logging blocked because the writer is stuck")
	}
}
