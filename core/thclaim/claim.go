// Package thclaim decides whether a request with an idempotency key may run.
//
// A claim is a row in the platform's store, written before the request is sent
// anywhere. Whoever finds another's claim does not send. A claim is never
// taken over because of time: only its owner, which knows that nothing was
// sent, releases it, by overwriting it. It is not deleted then, so that the
// row's version goes on growing and a delayed write can never match it again.
package thclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/thstore"
)

// KeyPrefix begins the key of every claim's row.
const KeyPrefix = "claims/"

// Retention is how long a claim is kept, and so how long a resend is recognised.
const Retention = 24 * time.Hour

// State is what is known of a claimed request.
type State string

// The states. From Claimed a claim goes to one of the others, and from
// Released to Claimed again; Done and Lost are final.
const (
	Claimed  State = "claimed"
	Released State = "released"
	Done     State = "done"
	Lost     State = "lost"
)

// Answer is a recorded answer. Its body is in the row or in an object.
type Answer struct {
	Status  int                `json:"status"`
	Headers []threquest.Header `json:"headers,omitempty"`
	Body    []byte             `json:"body,omitempty"`
	Object  string             `json:"object,omitempty"`
	Target  string             `json:"target,omitempty"`
	// Dropped is set if the answer was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// Claim is the value of a claim's row.
type Claim struct {
	// Digest is of the request that was claimed.
	Digest string `json:"digest"`
	// Token names one try to claim, so that its writer knows its own row again.
	Token string `json:"token"`
	// Owner is the VM that made the claim.
	Owner string `json:"owner"`
	State State  `json:"state"`
	// SendUntil is the owner's deadline by the wall clock: it sends nothing
	// after it, and the request has ended by it.
	SendUntil time.Duration `json:"sendUntilWall"`
	// Expires is when the row may be deleted, by the wall clock.
	Expires time.Duration `json:"expiresWall"`
	Answer  *Answer       `json:"answer,omitempty"`
}

// Key returns the key of the row for a customer's idempotency key.
func Key(customer, idempotencyKey string) string {
	return KeyPrefix + digest([]byte(customer), []byte(idempotencyKey))
}

// Digest returns the digest by which a request is known again.
func Digest(q *threquest.Request) string {
	return digest([]byte(q.Method), []byte(q.URI), q.Body)
}

func digest(parts ...[]byte) string {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Decode returns the claim in a row; a missing row gives the zero Claim.
func Decode(r thstore.Row) (Claim, error) {
	var m Claim
	if r.Version == 0 {
		return m, nil
	}
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return m, therror.Wrap(therror.MessageMalformed, err, "claim %s", r.Key)
	}
	return m, nil
}

// Encode returns the row's value.
func (m Claim) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		// Every field can be encoded, so this is not reached.
		return nil
	}
	return data
}

// Final reports whether the claim's state never changes again.
func (m Claim) Final() bool { return m.State == Done || m.State == Lost }

// WithState returns the claim in the state, with the answer if there is one.
func (m Claim) WithState(s State, a *Answer) Claim {
	m.State = s
	m.Answer = a
	return m
}
