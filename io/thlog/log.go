// Package thlog writes thevent's numbered events as JSON lines with logrus. It
// limits the lines of each event per second and drops lines rather than wait for
// a blocked writer. The numbers of lines left out are logged as an event.
package thlog

import (
	"io"
	"time"

	"tamarackhollow/core/thevent"

	"github.com/sirupsen/logrus"
)

// Logger implements thevent.Logger. Create it with New.
type Logger struct {
	base    *logrus.Entry
	queue   *queue
	limiter limiter
}

// New returns a logger that writes to w in a goroutine of its own, with the VM's
// name in each line.
func New(w io.Writer, vm string) *Logger {
	q := newQueue(w)
	l := logrus.New()
	l.SetOutput(q)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Logger{base: l.WithField("vm", vm), queue: q}
}

// Log writes one event with its number, name, text and fields. The line is left
// out if the event is over its limit or the writer is blocked. If lines were left
// out before, Log first writes their number as LinesLeftOut.
func (l *Logger) Log(id thevent.ID, fields ...thevent.Field) {
	e, ok := thevent.Lookup(id)
	if !ok {
		l.base.WithField("event", int(id)).Error("event number is not in the catalogue of thevent")
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

// write writes a line for an event without checking its limit.
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
