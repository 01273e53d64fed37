package thtable

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the content of a routing table or of a list of targets, whatever
// its version and the order of its rows. It is the sum of the rows' digests, so that
// the digest after a change follows from the rows that changed. The digest 0 stands
// for no content.
type Digest uint64

// emptyTargetsDigest is the digest of a list without targets.
const emptyTargetsDigest Digest = 1

// digestDocument returns the digest of a document.
func digestDocument(d Document) Digest {
	return digestSettings(d) + digestRows(d.Routes) + digestRows(d.Services) + digestRows(d.Customers) + digestRows(d.Orders.List)
}

// digestSettings returns the digest of what a document holds besides its rows.
func digestSettings(d Document) Digest {
	return digestValue(struct {
		Limits      Limits
		RequiresKey bool
	}{d.Limits, d.RequiresKey})
}

func digestRows[T any](rows []T) Digest {
	var sum Digest
	for _, r := range rows {
		sum += digestValue(r)
	}
	return sum
}

// digestValue returns the hash of the value's JSON form. For a target it does not
// depend on the fields that change with each read.
func digestValue(v any) Digest {
	if t, ok := v.(Target); ok {
		v = t.withoutCounters()
	}
	data, err := json.Marshal(v)
	if err != nil {
		data = fmt.Appendf(nil, "%+v", v) // a rate or weight that is infinite or not a number has no JSON form
	}
	return Digest(xxhash.Sum64(data))
}

// withoutCounters returns the target without the fields that change with each read.
func (t Target) withoutCounters() Target {
	t.WarmupAgeMillis, t.Sequence = 0, 0
	return t
}
