package thlog

import (
	"io"
	"sync"
	"time"

	"tamarackhollow/core/thevent"
)

const (
	// maxLinesPerSecond bounds the lines of each event, so that frequent events
	// never displace rare ones.
	maxLinesPerSecond = 20
	// maxQueuedLines is how many lines may wait for a slow reader.
	maxQueuedLines = 512
)

// secondBudget counts an event's lines in the running second.
type secondBudget struct {
	second  int64
	lines   int
	leftOut int
}

// limiter decides which lines are written. The zero limiter has written none.
type limiter struct {
	mu      sync.Mutex
	budgets map[thevent.ID]*secondBudget
}

// allow reports whether a line of the event may be written now, and how many
// were left out in the second before.
func (l *limiter) allow(id thevent.ID, now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.budgets == nil {
		l.budgets = make(map[thevent.ID]*secondBudget)
	}
	b := l.budgets[id]
	if b == nil {
		b = &secondBudget{}
		l.budgets[id] = b
	}
	if second := now.Unix(); second != b.second {
		leftOut = b.leftOut
		*b = secondBudget{second: second}
	}
	if b.lines >= maxLinesPerSecond {
		b.leftOut++
		return false, leftOut
	}
	b.lines++
	return true, leftOut
}

// queue hands lines to a writer without ever waiting for it.
type queue struct {
	lines chan []byte
	mu    sync.Mutex
	// dropped counts the lines that found the queue full.
	dropped int
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range q.lines {
			// There is nowhere to report that the log itself cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write takes a line, or drops it if the reader of the log is stuck.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.mu.Lock()
		q.dropped++
		q.mu.Unlock()
	}
	return len(line), nil
}

// takeDropped returns how many lines were dropped since it was last asked.
func (q *queue) takeDropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.dropped
	q.dropped = 0
	return n
}
