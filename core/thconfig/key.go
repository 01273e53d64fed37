package thconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const (
	keyPrefix  = "th"
	keyParts   = 3
	hashDigits = 2 * sha256.Size
)

// NewKey returns the clear text of a key and what is kept of it. The id and
// the secret come from the caller's source of randomness.
func NewKey(customer, id string, secret []byte) (string, Key) {
	text := keyPrefix + "." + id + "." + hex.EncodeToString(secret)
	return text, Key{ID: id, Customer: customer, Hash: hashKey(text)}
}

func hashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// KeyID returns the public part of a key's text, or nothing if it is no key.
func KeyID(text string) string {
	parts := strings.SplitN(text, ".", keyParts)
	if len(parts) != keyParts || parts[0] != keyPrefix {
		return ""
	}
	return parts[1]
}

// Authenticate returns the customer whose key the text is. The comparison
// takes the same time wherever the texts differ.
func (c Config) Authenticate(text string) (Customer, bool) {
	k, ok := c.keys.get(KeyID(text))
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hashKey(text))) != 1 {
		return Customer{}, false
	}
	return c.customers.get(k.Customer)
}
