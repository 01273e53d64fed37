//go:build review

// Package kit2 holds the stand-ins of the second review: the platform's store, upstreams,
// clients and the processes of a small fleet. They follow the users' pages and use loopback
// addresses only.
package kit2

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Since returns the time since the start of the record, in seconds.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
