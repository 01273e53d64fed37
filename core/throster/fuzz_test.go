package throster_test

import (
	"encoding/json"
	"testing"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// FuzzAnswer lets a peer answer anything. The node keeps its version and does
// not take a lone peer for a majority.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"id":"b","incarnation":1,"voter":true,"version":1,"roster":1,"asOfMillis":-1,"ages":"/wD/","acked":"Bw=="}`))
	f.Add([]byte(`{"id":"b","roster":1,"ages":"AA==","overrides":[{"id":"a","incarnation":9},{"id":"","incarnation":1}]}`))
	f.Add([]byte(`{"asOfMillis":9223372036854775807}`))
	f.Add([]byte(`{"asOfMillis":-9223372036854775808,"accepted":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a throster.Answer
		if json.Unmarshal(data, &a) != nil {
			return
		}
		fl := newFleet("a", "b", "c", "d", "e")
		n := fl.nodes["a"]
		now := thclock.At(fl.now)
		n.Answered(now, a)
		if n.Version() != 1 || n.AsOf().Mono > now.Mono {
			t.Fatalf("version %d, as of %v at %v", n.Version(), n.AsOf(), now)
		}
		if n.Accepted() > n.Version() {
			t.Fatalf("accepted %d at version %d", n.Accepted(), n.Version())
		}
		n.Answer(now, n.Ask())
	})
}

func FuzzQuestion(f *testing.F) {
	f.Add([]byte(`{"version":18446744073709551615,"id":"b","incarnation":18446744073709551615}`))
	f.Add([]byte(`{"id":"nobody","brief":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var q throster.Question
		if json.Unmarshal(data, &q) != nil {
			return
		}
		fl := newFleet("a", "b", "c")
		a := fl.nodes["a"].Answer(thclock.At(fl.now), q)
		if a.Version != 1 || !q.Brief && len(a.Ages) != 3 {
			t.Fatalf("%+v", a)
		}
	})
}

func FuzzRoster(f *testing.F) {
	f.Add([]byte(`{"version":1,"vms":[{"id":"b"},{"id":"a"}]}`))
	f.Add([]byte(`{"vms":[{"id":"a"},{"id":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r throster.Roster
		if json.Unmarshal(data, &r) != nil {
			return
		}
		for _, v := range r.VMs() {
			if got, ok := r.VM(v.ID); !ok || got != v {
				t.Fatalf("%q is not found", v.ID)
			}
		}
	})
}
