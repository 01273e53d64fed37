package throster_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/throster"
)

// watch lets the VM read the platform's list for some time, while it hears
// some of the others, and returns whom it would remove at the end.
func watch(f *fleet, id string, d *throster.Departures, span time.Duration, listed, heard []string) []string {
	for end := f.now + span; f.now < end; f.now += 10 * time.Second {
		f.ask(id, heard...)
		d.Read(thclock.At(f.now), f.roster, listed)
	}
	f.ask(id, heard...)
	var out []string
	for _, v := range d.Due(thclock.At(f.now), f.nodes[id]) {
		out = append(out, v.ID)
	}
	return out
}

func TestGoneWhenListAndHeartbeatsAgree(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	long := throster.GoneAfter + time.Minute
	for _, c := range []struct {
		name          string
		span          time.Duration
		listed, heard []string
		gone          []string
	}{
		{"both agree", long, all[:3], []string{"b", "c"}, []string{"d"}},
		{"a zone at once", long, all[:2], []string{"b"}, []string{"c", "d"}},
		{"the list lags", time.Minute, all[:3], []string{"b", "c"}, nil},
		{"the list lacks a living one", long, all[:3], []string{"b", "c", "d"}, nil},
		{"the list holds a silent one", long, all, []string{"b", "c"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d throster.Departures
			got := watch(newFleet(all...), "a", &d, c.span, c.listed, c.heard)
			assert.Assert(t, slices.Equal(got, c.gone), "%v", got)
		})
	}
}

func TestListNotReadProvesNothing(t *testing.T) {
	f := newFleet("a", "b", "c")
	var d throster.Departures
	assert.Equal(t, len(watch(f, "a", &d, 100*time.Second, []string{"a", "b"}, []string{"b"})), 0)
	f.now += throster.GoneAfter
	assert.Equal(t, len(d.Due(thclock.At(f.now), f.nodes["a"])), 0)
	assert.Equal(t, len(watch(f, "a", &d, 10*time.Second, []string{"a", "b"}, []string{"b"})), 0)
}

func TestOneVMRemovesFirst(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	first := 0
	for _, id := range []string{"a", "b", "c"} {
		f.now = time.Hour
		var d throster.Departures
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(o string) bool { return o == id })
		if len(watch(f, id, &d, throster.GoneAfter, []string{"a", "b", "c"}, others)) > 0 {
			first++
		}
		f.restart(id, 1)
	}
	assert.Equal(t, first, 1)
}
