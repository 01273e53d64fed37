package thtable_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawDocument draws a small document, so that two of them share many keys.
func drawDocument(t *rapid.T, version uint64) thtable.Document {
	d := thtable.Document{Version: version, RequiresKey: rapid.Bool().Draw(t, "keyed")}
	d.Limits.IdleTimeoutMillis = rapid.Int64Range(1, 2).Draw(t, "idle")
	for i := range 4 {
		if rapid.Bool().Draw(t, "route") {
			d.Routes = append(d.Routes, thtable.Route{
				Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), TimeoutMillis: rapid.Int64Range(1, 2).Draw(t, "timeout"),
				Backends: []thtable.Backend{{Service: "s", Weight: rapid.Float64Range(1, 2).Draw(t, "weight")}},
			})
		}
		if rapid.Bool().Draw(t, "customer") {
			d.Customers = append(d.Customers, thtable.Customer{Name: fmt.Sprint(i), Keys: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")}})
		}
		if rapid.Bool().Draw(t, "service") {
			d.Services = append(d.Services, thtable.Service{Name: fmt.Sprint(i), MaxConnections: rapid.IntRange(1, 2).Draw(t, "connections")})
		}
		if rapid.Bool().Draw(t, "order") {
			d.Orders.Version = version
			d.Orders.List = append(d.Orders.List, thtable.Order{Zone: fmt.Sprint(i), Revoked: rapid.Bool().Draw(t, "revoked")})
		}
	}
	return d
}

func drawTargets(t *rapid.T, version uint64) thtable.TargetList {
	l := thtable.TargetList{Position: thtable.Position{Version: version}}
	for i := range 5 {
		if rapid.Bool().Draw(t, "target") {
			l.Targets = append(l.Targets, thtable.Target{ID: fmt.Sprint(i), Draining: rapid.Bool().Draw(t, "draining"), WarmupMillis: rapid.Int64Range(0, 9).Draw(t, "warmup")})
		}
	}
	return l
}

// throughJSON returns the value as another VM decodes it.
func throughJSON[T any](t *rapid.T, v T) T {
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	var decoded T
	assert.NilError(t, json.Unmarshal(data, &decoded))
	return decoded
}

// A change must lead another VM to the content that the sender has.
func TestChangesLeadToSendersContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawDocument(t, 1), drawDocument(t, 2)
		sender := thtable.New(before)
		receiver := thtable.New(throughJSON(t, before))
		c, ok := sender.Diff(after)
		assert.Assert(t, ok)
		changed, err := receiver.WithChange(throughJSON(t, c))
		assert.NilError(t, err)
		assert.Equal(t, changed.Version(), uint64(2))
		assert.Equal(t, changed.Digest(), thtable.New(after).Digest())
		assert.Equal(t, len(changed.Document().Routes), len(after.Routes))
		for _, r := range after.Routes {
			got, ok := changed.Route(r.Host, r.Prefix)
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, r)
		}
		assert.Equal(t, len(changed.Document().Customers), len(after.Customers))
		assert.Equal(t, changed.Limits(), after.Limits)
		assert.DeepEqual(t, changed.Document().Orders, after.Orders)

		old, list := thtable.NewTargetSet(drawTargets(t, 1)), drawTargets(t, 2)
		tc, ok := old.Diff(list)
		assert.Assert(t, ok)
		set, err := thtable.NewTargetSet(throughJSON(t, old.List())).WithChange(throughJSON(t, tc))
		assert.NilError(t, err)
		assert.Equal(t, set.Digest(), thtable.NewTargetSet(list).Digest())
		assert.Assert(t, thtable.EqualTargets(set.List().Targets, list.Targets))
		assert.Equal(t, set.List().Version, uint64(2))
	})
}

// A change must not be applied to another content than it was made for.
func TestChangeForOtherContentIsRefused(t *testing.T) {
	before, after := document(3, 2), document(4, 2)
	after.Version = 2
	c, ok := thtable.New(before).Diff(after)
	assert.Assert(t, ok)
	other := document(3, 2)
	other.Routes[0].Priority = 7
	_, err := thtable.New(other).WithChange(c)
	assert.Assert(t, err != nil)
	c.Routes.Put[0].Priority = 7 // damaged on its way
	_, err = thtable.New(before).WithChange(c)
	assert.Assert(t, err != nil)
}

func TestRowsWithoutOwnKeyHaveNoChange(t *testing.T) {
	d := document(2, 2)
	d.Routes = append(d.Routes, d.Routes[0])
	_, ok := thtable.New(document(2, 2)).Diff(d)
	assert.Assert(t, !ok)
	_, ok = thtable.New(d).Diff(document(2, 2))
	assert.Assert(t, !ok)
	_, ok = thtable.Table{}.Diff(document(2, 2))
	assert.Assert(t, !ok)
}

// TestOnlyWarmupReportIsPartOfContent guards against VMs that do not learn of a target that becomes
// cold, and against content that differs by when it was sent. That reports which say the same are
// not passed on is TestWarmupIsPassedOnOnce.
func TestOnlyWarmupReportIsPartOfContent(t *testing.T) {
	old := thtable.NewTargetSet(thtable.TargetList{Position: thtable.Position{Version: 1}, Targets: []thtable.Target{{ID: "a", WarmupMillis: 10}}})
	for _, c := range []struct {
		target thtable.Target
		put    int
	}{
		{thtable.Target{ID: "a", WarmupMillis: 5}, 1},
		{thtable.Target{ID: "a", WarmupMillis: 10, WarmupAgeMillis: 7, Sequence: 3}, 0},
	} {
		change, ok := old.Diff(thtable.TargetList{Position: thtable.Position{Version: 2}, Targets: []thtable.Target{c.target}})
		assert.Assert(t, ok)
		assert.Equal(t, len(change.Targets.Put), c.put)
		assert.Equal(t, change.Base == change.Result, c.put == 0)
	}
}

// A request with the digest 0 asks for the whole content, so that no content may have
// it, not even a list without targets.
func TestDigestZeroStandsForNoContent(t *testing.T) {
	empty := thtable.NewTargetSet(thtable.TargetList{Position: thtable.Position{Version: 1}})
	assert.Assert(t, empty.Digest() != 0)
	assert.Assert(t, thtable.New(thtable.Document{Version: 1}).Digest() != 0)
	list := thtable.TargetList{Position: thtable.Position{Version: 2}, Targets: []thtable.Target{{ID: "a"}}}
	c, ok := empty.Diff(list)
	assert.Assert(t, ok)
	assert.Equal(t, c.Result, thtable.NewTargetSet(list).Digest())
	_, ok = thtable.ChangeLog[thtable.TargetsChange]{}.With(c).Since(0, 10)
	assert.Assert(t, !ok)
	_, ok = thtable.TargetSet{}.Diff(list)
	assert.Assert(t, !ok)
}

func TestChangeLogBringsRecentContentUpToDate(t *testing.T) {
	step := func(base, result int) thtable.TargetsChange {
		return thtable.TargetsChange{
			Base: thtable.Digest(base), Result: thtable.Digest(result), Targets: thtable.RowsChange[thtable.Target]{Removed: []string{"x"}},
		}
	}
	var l thtable.ChangeLog[thtable.TargetsChange]
	_, ok := l.Since(1, 10)
	assert.Assert(t, !ok)
	for i := 1; i <= 100; i++ {
		l = l.With(step(i, i+1))
	}
	changes, ok := l.Since(98, 10)
	assert.Assert(t, ok)
	assert.Equal(t, len(changes), 3)
	_, ok = l.Since(98, 2)
	assert.Assert(t, !ok) // more rows than allowed
	_, ok = l.Since(1, 1000)
	assert.Assert(t, !ok) // too old
	_, ok = l.Since(101, 10)
	assert.Assert(t, !ok)      // it is the newest already
	l = l.With(step(500, 501)) // does not follow on the last one
	_, ok = l.Since(98, 10)
	assert.Assert(t, !ok)
	changes, ok = l.Since(500, 10)
	assert.Assert(t, ok)
	assert.Equal(t, len(changes), 1)
	following, ok := thtable.Following([]thtable.TargetsChange{step(1, 2), step(2, 3)}, 2)
	assert.Assert(t, ok)
	assert.Equal(t, len(following), 1)
	_, ok = thtable.Following(following, 7)
	assert.Assert(t, !ok)
}
