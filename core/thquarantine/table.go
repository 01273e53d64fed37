package thquarantine

import (
	"cmp"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// maxSuspects bounds the table, and maxSuspectsPerCustomer each customer's
	// entries in it.
	maxSuspects            = 512
	maxSuspectsPerCustomer = 64
	// clearedRetention is how long a cleared suspect is kept, so that a crash
	// from before the answer does not count when another VM reports it late.
	clearedRetention = time.Minute
)

// Table holds the requests suspected of crashing targets. The zero Table is
// empty. It is not safe for concurrent use.
type Table struct {
	suspects map[Key]Suspect
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.suspects) }

// RecordConnectionClosed records that the connection to the target closed while
// it ran the request or, if duringAnswer is set, after its answer had begun.
func (t *Table) RecordConnectionClosed(now thclock.Instant, k Key, target string, duringAnswer bool) {
	t.set(now, t.get(k).WithCrash(Crash{Target: target, At: now.Mono, DuringAnswer: duringAnswer}))
}

// RecordConnectionRefused records that the target refused a connection, and
// reports whether that changed the weight of a suspect by confirming a crash.
func (t *Table) RecordConnectionRefused(now thclock.Instant, target string) bool {
	confirmed := false
	for _, s := range t.suspects {
		updated := s.WithConnectionRefused(target, now.Mono)
		if updated.weight() != s.weight() {
			confirmed = true
			t.suspects[updated.Key] = updated
		}
	}
	return confirmed
}

// RecordAnswer records that a target answered the request completely, and
// reports whether the request was a suspect.
func (t *Table) RecordAnswer(now thclock.Instant, k Key) bool {
	s, ok := t.suspects[k]
	if !ok {
		return false
	}
	t.suspects[k] = s.WithAnswer(now.Mono)
	return true
}

// IsQuarantined reports whether the request is to be refused now.
func (t *Table) IsQuarantined(now thclock.Instant, k Key) bool {
	s, ok := t.suspects[k]
	return ok && now.Mono < s.QuarantinedUntil()
}

// Sweep removes the expired suspects.
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

// evictIfFull makes room for a suspect of the customer. If the customer has
// maxSuspectsPerCustomer, it removes the least relevant one of these; if only
// the table is full, the least relevant of all.
func (t *Table) evictIfFull(customer string) {
	ofCustomer := 0
	for k := range t.suspects {
		if k.Customer == customer {
			ofCustomer++
		}
	}
	if ofCustomer < maxSuspectsPerCustomer && len(t.suspects) < maxSuspects {
		return
	}
	var least Suspect
	found := false
	for _, s := range t.suspects {
		if ofCustomer >= maxSuspectsPerCustomer && s.Key.Customer != customer {
			continue
		}
		if !found || compareRelevance(s, least) < 0 {
			least, found = s, true
		}
	}
	delete(t.suspects, least.Key)
}

// compareRelevance orders suspects by weight, then by the time they expire,
// then by key.
func compareRelevance(a, b Suspect) int {
	return cmp.Or(
		cmp.Compare(a.weight(), b.weight()),
		cmp.Compare(a.ExpiresAt(), b.ExpiresAt()),
		cmp.Compare(a.Key.Customer, b.Key.Customer),
		cmp.Compare(a.Key.Hash, b.Key.Hash),
	)
}
