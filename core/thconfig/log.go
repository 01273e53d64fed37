package thconfig

import (
	"tamarackhollow/core/therror"
)

// keptRecords bounds how many records a VM keeps for peers that lag; one that
// lags further loads a snapshot.
const keptRecords = 256

// Log is a configuration with the records that lately led to it. It is
// immutable and only ever moves forward.
type Log struct {
	config Config
	recent []Record
}

// NewLog returns a log that begins at the configuration.
func NewLog(c Config) Log { return Log{config: c} }

// Config returns the configuration in force.
func (l Log) Config() Config { return l.config }

// Version returns the version in force.
func (l Log) Version() uint64 { return l.config.version }

// Since returns the kept records after the version, and false if the log does
// not reach back that far.
func (l Log) Since(version uint64) ([]Record, bool) {
	if version >= l.Version() {
		return nil, true
	}
	missing := l.Version() - version
	if missing > uint64(len(l.recent)) {
		return nil, false
	}
	return l.recent[len(l.recent)-int(missing):], true
}

// WithRecords returns the log after those of the records that are newer than
// it. Older records are passed over. It fails with MessageStale if the records
// leave a gap or do not chain on, and keeps what chained on before that.
func (l Log) WithRecords(records []Record) (Log, error) {
	for _, r := range records {
		if r.Version <= l.Version() {
			continue
		}
		n, err := l.config.WithRecord(r)
		if err != nil {
			return l, err
		}
		l = l.appended(n, r)
	}
	return l, nil
}

func (l Log) appended(c Config, r Record) Log {
	from := max(0, len(l.recent)+1-keptRecords)
	recent := make([]Record, 0, len(l.recent)+1-from)
	recent = append(recent, l.recent[from:]...)
	return Log{config: c, recent: append(recent, r)}
}

// WithSnapshot returns the log moved to a newer configuration. It fails with
// MessageStale if the configuration is not newer.
func (l Log) WithSnapshot(c Config) (Log, error) {
	if c.version <= l.Version() {
		return l, therror.New(therror.MessageStale, "snapshot %d is not newer than version %d", c.version, l.Version())
	}
	return NewLog(c), nil
}
