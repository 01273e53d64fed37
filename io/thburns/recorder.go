package thburns

import (
	"math/rand/v2"
	"sync"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
)

const (
	recorderShards = 32
	// maxNames bounds the names that one shard tells apart between two
	// collections. Further ones are counted together.
	maxNames = 1_024
)

// overflow takes the counts of names beyond the bound.
const overflow = "(others)"

// kindName is a name with the kind of its refusals.
type kindName struct {
	name thburn.Name
	kind therror.Kind
}

// shard holds a part of the counts since the last collection. Its maps keep
// their room when they are emptied, so that counting allocates nothing.
type shard struct {
	mu     sync.Mutex
	counts map[thburn.Name]thburn.Counts
	kinds  map[kindName]uint32
	// The padding keeps shards off each other's cache lines.
	_ [64]byte
}

// recorder counts requests. A request is counted in a shard drawn at random,
// so that a large customer's requests do not wait for one lock. The zero
// recorder is ready.
type recorder struct {
	shards [recorderShards]shard
}

// record counts one request. It waits for nothing but other records.
func (r *recorder) record(name thburn.Name, class thburn.Class, refused bool, kind therror.Kind) {
	s := &r.shards[rand.Uint32()%recorderShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.counts[name]
	if !known && len(s.counts) >= maxNames {
		name.Customer = overflow
		c = s.counts[name]
	}
	if s.counts == nil {
		s.counts = make(map[thburn.Name]thburn.Counts)
		s.kinds = make(map[kindName]uint32)
	}
	s.counts[name] = c.With(class)
	if refused {
		s.kinds[kindName{name, kind}]++
	}
}

// collect returns the counts since the last collection, by part.
func (r *recorder) collect() map[int][]thburn.Entry {
	counts := make(map[thburn.Name]thburn.Counts)
	kinds := make(map[thburn.Name][]uint32)
	for i := range r.shards {
		r.shards[i].drainInto(counts, kinds)
	}
	parts := make(map[int][]thburn.Entry)
	for name, c := range counts {
		part := thburn.PartOf(name.Customer)
		parts[part] = append(parts[part], thburn.Entry{Name: name, Counts: c, Kinds: thburn.KindsOf(kinds[name])})
	}
	return parts
}

func (s *shard) drainInto(counts map[thburn.Name]thburn.Counts, kinds map[thburn.Name][]uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.counts {
		counts[name] = counts[name].Plus(c)
	}
	for k, n := range s.kinds {
		if kinds[k.name] == nil {
			kinds[k.name] = make([]uint32, len(therror.Kinds()))
		}
		kinds[k.name][k.kind] += n
	}
	clear(s.counts)
	clear(s.kinds)
}
