package thconfig

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shards bounds what one change copies: a 256th of the entries.
const shards = 256

// shardedMap is an immutable map; a change copies one shard only. The zero
// value is empty.
type shardedMap[V any] struct {
	parts *[shards]map[string]V
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shards) }

func (m shardedMap[V]) get(name string) (V, bool) {
	if m.parts == nil {
		var zero V
		return zero, false
	}
	v, ok := m.parts[shardOf(name)][name]
	return v, ok
}

func (m shardedMap[V]) with(name string, v V) shardedMap[V] {
	i := shardOf(name)
	n := m.copied(i)
	n.parts[i][name] = v
	return n
}

func (m shardedMap[V]) without(name string) shardedMap[V] {
	if _, ok := m.get(name); !ok {
		return m
	}
	i := shardOf(name)
	n := m.copied(i)
	delete(n.parts[i], name)
	return n
}

func (m shardedMap[V]) copied(i int) shardedMap[V] {
	var parts [shards]map[string]V
	if m.parts != nil {
		parts = *m.parts
	}
	parts[i] = maps.Clone(parts[i])
	if parts[i] == nil {
		parts[i] = make(map[string]V, 1)
	}
	return shardedMap[V]{parts: &parts}
}

// each calls the function with each entry, in no order.
func (m shardedMap[V]) each(f func(string, V)) {
	if m.parts == nil {
		return
	}
	for _, p := range m.parts {
		for name, v := range p {
			f(name, v)
		}
	}
}

func (m shardedMap[V]) sortedNames() []string {
	names := []string{}
	if m.parts == nil {
		return names
	}
	for _, p := range m.parts {
		names = slices.AppendSeq(names, maps.Keys(p))
	}
	slices.Sort(names)
	return names
}

func (m shardedMap[V]) sorted() []V {
	names := m.sortedNames()
	vs := make([]V, len(names))
	for i, name := range names {
		vs[i], _ = m.get(name)
	}
	return vs
}

// shardedMapBuilder fills a map in place before anybody reads it.
type shardedMapBuilder[V any] struct {
	parts *[shards]map[string]V
}

func (m shardedMap[V]) builder() shardedMapBuilder[V] {
	var parts [shards]map[string]V
	if m.parts != nil {
		for i, p := range m.parts {
			parts[i] = maps.Clone(p)
		}
	}
	return shardedMapBuilder[V]{parts: &parts}
}

func (b shardedMapBuilder[V]) put(name string, v V) {
	i := shardOf(name)
	if b.parts[i] == nil {
		b.parts[i] = make(map[string]V)
	}
	b.parts[i][name] = v
}

func (b shardedMapBuilder[V]) done() shardedMap[V] { return shardedMap[V](b) }
