// Package thquarantine decides which requests crash the targets that run them,
// and are therefore refused. VMs tell each other of deaths as they see them.
package thquarantine

import (
	"encoding/binary"

	"tamarackhollow/core/thmessage"

	"github.com/cespare/xxhash/v2"
)

// Key is the digest by which a request is known again. The hash is no secret
// and may collide, but never across customers.
type Key struct {
	Customer string
	Hash     uint64
}

// KeyOf returns the key of a request's host, method, URI and body.
func KeyOf(q *thmessage.Request) Key {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{q.Host, q.Method, q.URI} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(q.Body)
	return Key{Customer: q.Customer.Name, Hash: d.Sum64()}
}
