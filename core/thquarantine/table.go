package thquarantine

import (
	"cmp"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// maxSuspects bounds the table, and maxOfCustomer one customer's part of it.
	maxSuspects            = 512
	maxSuspectsPerCustomer = 64
	// clearedRetention is how long an answer is remembered, so that a death before
	// it that another VM tells of late does not count.
	clearedRetention = time.Minute
)

// Table holds the suspects. The zero Table is empty. It is not safe for
// concurrent use.
type Table struct {
	suspects map[Key]Suspect
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.suspects) }

// RecordConnectionClosed takes in that the connection to the target ended while it ran the
// request, or, if answering is set, while it answered.
func (t *Table) RecordConnectionClosed(now thclock.Instant, k Key, target string, answering bool) {
	t.set(now, t.get(k).WithCrash(Crash{Target: target, At: now.Mono, DuringAnswer: answering}))
}

// RecordConnectionRefused takes in that the target refuses connections, and reports whether
// that confirmed a death.
func (t *Table) RecordConnectionRefused(now thclock.Instant, target string) bool {
	confirmed := false
	for _, s := range t.suspects {
		n := s.WithConnectionRefused(target, now.Mono)
		if n.weight() != s.weight() {
			confirmed = true
			t.suspects[n.Key] = n
		}
	}
	return confirmed
}

// RecordAnswer takes in that a target answered the request whole, and reports
// whether it was suspected.
func (t *Table) RecordAnswer(now thclock.Instant, k Key) bool {
	s, ok := t.suspects[k]
	if !ok {
		return false
	}
	t.suspects[k] = s.WithAnswer(now.Mono)
	return true
}

// IsQuarantined reports whether the request is quarantined.
func (t *Table) IsQuarantined(now thclock.Instant, k Key) bool {
	s, ok := t.suspects[k]
	return ok && now.Mono < s.QuarantinedUntil()
}

// Sweep forgets what has expired.
func (t *Table) Sweep(now thclock.Instant) {
	for k, s := range t.suspects {
		if t.isExpired(now, s) {
			delete(t.suspects, k)
		}
	}
}

func (t *Table) isExpired(now thclock.Instant, s Suspect) bool {
	return now.Mono >= s.ExpiresAt() && now.Mono >= s.ClearedAt+clearedRetention
}

func (t *Table) get(k Key) Suspect {
	s, ok := t.suspects[k]
	if !ok {
		s.Key = k
	}
	return s
}

func (t *Table) set(now thclock.Instant, s Suspect) {
	if t.isExpired(now, s) {
		return
	}
	if t.suspects == nil {
		t.suspects = make(map[Key]Suspect)
	}
	if _, known := t.suspects[s.Key]; !known {
		t.evictIfFull(s.Key.Customer)
	}
	t.suspects[s.Key] = s
}

// evictIfFull drops the suspect that matters least, of the customer if it has its
// full part.
func (t *Table) evictIfFull(customer string) {
	mine := 0
	for k := range t.suspects {
		if k.Customer == customer {
			mine++
		}
	}
	if mine < maxSuspectsPerCustomer && len(t.suspects) < maxSuspects {
		return
	}
	var least Suspect
	found := false
	for _, s := range t.suspects {
		if mine >= maxSuspectsPerCustomer && s.Key.Customer != customer {
			continue
		}
		if !found || compareRelevance(s, least) < 0 {
			least, found = s, true
		}
	}
	delete(t.suspects, least.Key)
}

// compareRelevance orders suspects by how much they matter.
func compareRelevance(a, b Suspect) int {
	return cmp.Or(
		cmp.Compare(a.weight(), b.weight()),
		cmp.Compare(a.ExpiresAt(), b.ExpiresAt()),
		cmp.Compare(a.Key.Customer, b.Key.Customer),
		cmp.Compare(a.Key.Hash, b.Key.Hash),
	)
}
