// Package thlog writes numbered events as JSON lines through logrus.
package thlog

import (
	"io"

	"tamarackhollow/core/thevent"

	"github.com/sirupsen/logrus"
)

// Logger writes events. Make one with New.
type Logger struct {
	base *logrus.Entry
}

// New returns a logger that writes to w and names the VM in each line.
func New(w io.Writer, vm string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	return &Logger{base: l.WithField("vm", vm)}
}

// Log writes one event with its number, name and fixed text.
func (l *Logger) Log(id thevent.ID, fields ...thevent.Field) {
	e, ok := thevent.Lookup(id)
	if !ok {
		l.base.WithField("event", int(id)).Error("event is not in the catalogue")
		return
	}
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
