package thview_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// FuzzReceive lets a VM receive two damaged or foreign notices. Whatever they say, the VM goes
// on to pick targets, to admit requests and to send notices.
func FuzzReceive(f *testing.F) {
	id := thfleet.Identity{ID: "other", Zone: "z", Address: "10.0.0.2:1"}
	target, customer := thfleet.KeyOf("t0"), thfleet.KeyOf("c")
	notices := []thfleet.Notice{
		{From: thfleet.VMKeyOf("other"), StartMillis: 1, Sequence: 1, Identity: &id, LiveHash: 7},
		{From: thfleet.VMKeyOf("other"), StartMillis: 1, Sequence: 2, Loads: []thfleet.Load{{Target: target, InFlight: 3}}, Results: []thfleet.AttemptResult{{Target: target, Outcome: 1}}, Refused: []thfleet.KeyCount{{Key: thfleet.KeyOf("s"), Count: 2}}},
		{From: thfleet.VMKeyOf("other"), StartMillis: 1, Sequence: 3, TokenRequest: &thfleet.TokenRequest{Key: customer, Thousandths: 1000, Number: 1}},
		{From: thfleet.VMKeyOf("other"), StartMillis: 1, Sequence: 4, Results: []thfleet.AttemptResult{{Target: target, Outcome: 200}}},
		{From: thfleet.VMKeyOf("other"), StartMillis: 1, Sequence: 5, ReportedLoads: []thfleet.ReportedLoad{{Target: target, Running: 2, Waiting: 65535, Slots: 2, AgeMillis: 65535}}},
		thfleet.Notice{From: thfleet.VMKeyOf("other"), StartMillis: 2, Sequence: 1, Leaving: true, Lost: []thfleet.Loss{{VM: thfleet.VMKeyOf("vm"), StartMillis: 1}}}.
			WithVersions(thfleet.StoreVersions{Table: 2, Targets: thtable.Position{Era: 3, Version: 2}}),
	}
	for i, n := range notices {
		first, err := cbor.Marshal(n)
		assert.NilError(f, err)
		second, err := cbor.Marshal(notices[(i+1)%len(notices)])
		assert.NilError(f, err)
		f.Add(first, second)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := thclock.At(time.Hour)
		v := thview.New(thview.Options{Self: thfleet.Identity{ID: "vm", Zone: "z", Address: "10.0.0.1:1"}, StartMillis: 1, Rand: rand.New(rand.NewPCG(1, 1)), FloorShare: 0.7})
		v.SetTargets(now, []thtable.Target{{ID: "t0", Service: "s", Slots: 2}, {ID: "t1", Service: "s", Slots: 2}})
		limited := thtable.Customer{Name: "c", Rate: 10, Burst: 10}
		v.SetTable(thtable.New(thtable.Document{Version: 1, Customers: []thtable.Customer{limited}}))
		v.MarkJoined(now)
		for _, data := range [][]byte{first, second} {
			var n thfleet.Notice
			if cbor.Unmarshal(data, &n) != nil {
				continue // the exchange counts it as malformed
			}
			now = now.Add(100 * time.Millisecond)
			v.Receive(now, n)
			if n.TokenRequest != nil {
				v.GiveTokens(now, *n.TokenRequest)
			}
			v.RelayMembers(n)
		}
		q := &thmessage.Request{Route: thtable.Route{Name: "r"}, Objective: now.Add(time.Minute), Deadline: now.Add(time.Hour)}
		p, refusal := v.Pick(now, q, "s", nil, false)
		assert.Assert(t, refusal == nil || refusal.Overloaded)
		if refusal == nil {
			assert.Assert(t, p.InFlight >= 0)
			v.Finish(now, p, q, 0, time.Millisecond)
		}
		v.BeginAdmission(now, limited, q.Route)
		v.Probe(now)
		v.TakeNotices(now)
	})
}

// A VM of a newer version, or a damaged datagram, sends an outcome that this one does not know.
func TestUnknownOutcomeOfPeerIsIgnored(t *testing.T) {
	f := newFleet(2, 2)
	n := f.views[1].Introduction(false)
	n.Results = []thfleet.AttemptResult{{Target: thfleet.KeyOf("t0"), Outcome: 200, LatencyRatio: thfleet.UnknownLatencyRatio}}
	before := f.views[0].TargetStatuses(f.instant())
	f.views[0].Receive(f.instant(), n)
	assert.DeepEqual(t, byID(f.views[0].TargetStatuses(f.instant())), byID(before))
}

func byID(statuses []thview.TargetStatus) map[string]thview.TargetStatus {
	m := make(map[string]thview.TargetStatus)
	for _, s := range statuses {
		m[s.ID] = s
	}
	return m
}
