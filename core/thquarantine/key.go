// Package thquarantine recognises requests that crash the targets that run
// them, so that they can be refused for a while. VMs report the crashes they
// see to each other.
package thquarantine

import (
	"encoding/binary"

	"tamarackhollow/core/thmessage"

	"github.com/cespare/xxhash/v2"
)

// Key identifies equal requests of one customer. The hash is no secret and may
// collide, but a collision never affects another customer's requests, since the
// customer is part of the key.
type Key struct {
	Customer string
	Hash     uint64
}

// KeyOf returns the key of a request: its customer and a hash of its host,
// method, URI and body. Each of the first three is preceded by its length.
func KeyOf(request *thmessage.Request) Key {
	var digest xxhash.Digest
	digest.Reset()
	for _, s := range [...]string{request.Host, request.Method, request.URI} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(s)
	}
	for _, piece := range request.Body {
		_, _ = digest.Write(piece)
	}
	return Key{Customer: request.Customer.Name, Hash: digest.Sum64()}
}
