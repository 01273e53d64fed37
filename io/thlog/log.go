// Package thlog writes numbered events as JSON lines through logrus. The lines
// of each event are bounded a second, and a stuck reader of the log holds
// nobody up; what is left out is counted in a line of its own.
package thlog

import (
	"io"
	"time"

	"tamarackhollow/core/thevent"

	"github.com/sirupsen/logrus"
)

// Logger writes events. Make one with New.
type Logger struct {
	base    *logrus.Entry
	queue   *queue
	limiter limiter
}

// New returns a logger that writes to w and names the VM in each line.
func New(w io.Writer, vm string) *Logger {
	q := newQueue(w)
	l := logrus.New()
	l.SetOutput(q)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Logger{base: l.WithField("vm", vm), queue: q}
}

// Log writes one event with its number, name and fixed text.
func (l *Logger) Log(id thevent.ID, fields ...thevent.Field) {
	e, ok := thevent.Lookup(id)
	if !ok {
		l.base.WithField("event", int(id)).Error("event is not in the catalogue")
		return
	}
	allowed, leftOut := l.limiter.allow(id, time.Now())
	if dropped := l.queue.takeDropped(); leftOut+dropped > 0 {
		l.write(thevent.LinesLeftOut, []thevent.Field{
			thevent.F("of", e.Name), thevent.F("overBudget", leftOut), thevent.F("readerStuck", dropped),
		})
	}
	if allowed {
		l.write(id, fields)
	}
}

func (l *Logger) write(id thevent.ID, fields []thevent.Field) {
	e, _ := thevent.Lookup(id)
	fs := logrus.Fields{"event": int(id), "name": e.Name}
	for _, f := range fields {
		fs[f.Name] = f.Value
	}
	entry := l.base.WithFields(fs)
	switch e.Level {
	case thevent.Info:
		entry.Info(e.Text)
	case thevent.Warn:
		entry.Warn(e.Text)
	case thevent.Fault:
		entry.Error(e.Text)
	}
}
