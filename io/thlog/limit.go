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
	// maxQueuedLines is how many lines can wait for a slow writer; further lines
	// are dropped.
	maxQueuedLines = 512
)

// lineCounts counts the lines of one event in the current second.
type lineCounts struct {
	// second is the Unix time that the counts are for.
	second int64
	// written counts the lines written, leftOut those over the limit.
	written int
	leftOut int
}

// limiter applies maxLinesPerSecond to each event. Its zero value is ready to use.
type limiter struct {
	mu     sync.Mutex
	counts map[thevent.ID]*lineCounts
}

// allow reports whether a line of the event may be written now. In the event's
// first call of a second, leftOut is the number of its lines that were over the
// limit in the last second with a call; otherwise it is 0.
func (l *limiter) allow(id thevent.ID, now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[thevent.ID]*lineCounts)
	}
	c := l.counts[id]
	if c == nil {
		c = &lineCounts{}
		l.counts[id] = c
	}
	if second := now.Unix(); second != c.second {
		leftOut = c.leftOut
		*c = lineCounts{second: second}
	}
	if c.written >= maxLinesPerSecond {
		c.leftOut++
		return false, leftOut
	}
	c.written++
	return true, leftOut
}

// queue passes lines to a writer in the background, so that a slow writer never
// blocks whoever logs.
type queue struct {
	lines chan []byte
	mu    sync.Mutex
	// dropped counts the lines dropped because the queue was full.
	dropped int
}

// newQueue returns a queue and starts the goroutine that writes its lines to w.
func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range q.lines {
			// An error of the log's own writer cannot be logged anywhere.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write queues a copy of the line, or drops the line and counts it if the queue is
// full. It never blocks or fails.
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

// takeDropped returns the number of lines dropped since its last call.
func (q *queue) takeDropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.dropped
	q.dropped = 0
	return n
}
