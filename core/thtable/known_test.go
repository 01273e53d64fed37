package thtable_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// word returns a target as it wrote of itself: "ID start.sequence", with "d" after it if it drains.
func word(text string) thtable.Target {
	var t thtable.Target
	t.Draining = strings.HasSuffix(text, "d")
	if _, err := fmt.Sscanf(strings.TrimSuffix(text, "d"), "%s %d.%d", &t.ID, &t.StartMillis, &t.Sequence); err != nil {
		panic(text + ": " + err.Error())
	}
	return t
}

// listAt returns the list of a position with the given words and the targets that have left.
func listAt(era, version uint64, words []string, left ...thtable.LeftTarget) thtable.TargetList {
	l := thtable.TargetList{Position: thtable.Position{Era: era, Version: version}, Left: left}
	for _, w := range words {
		l.Targets = append(l.Targets, word(w))
	}
	return l
}

// texts returns the targets in the form of word.
func texts(ts []thtable.Target) []string {
	all := make([]string, 0, len(ts))
	for _, t := range ts {
		text := fmt.Sprintf("%s %d.%d", t.ID, t.StartMillis, t.Sequence)
		if t.Draining {
			text += "d"
		}
		all = append(all, text)
	}
	return all
}

// leftWord returns the target as one that has left the list of the era.
func leftWord(text string, era uint64) thtable.LeftTarget {
	t := word(text)
	return thtable.LeftTarget{ID: t.ID, StartMillis: t.StartMillis, Sequence: t.Sequence, Era: era}
}

// Targets that had left or drained were used again, and others dropped, after the store had come
// back from an older copy.
func TestOlderCopyDoesNotTakeBackWhatTargetsSaid(t *testing.T) {
	type step struct {
		afterMillis int64
		list        thtable.TargetList
		want        []string
	}
	first := step{0, listAt(1, 100, []string{"a 7.3", "b 7.3"}), []string{"a 7.3", "b 7.3"}}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a list of the same era counts", []step{first, {0, listAt(1, 101, []string{"a 7.2"}), []string{"a 7.2"}}}},
		{"what was draining stays so", []step{
			first,
			{0, listAt(1, 101, []string{"a 7.5d", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{0, listAt(2, 50, []string{"a 7.3", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{59_000, listAt(2, 51, []string{"a 7.4", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
		}},
		{"until it says something newer", []step{
			first,
			{0, listAt(1, 101, []string{"a 7.5d", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{0, listAt(2, 50, []string{"a 7.3", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{100, listAt(2, 51, []string{"a 7.6", "b 7.3"}), []string{"a 7.6", "b 7.3"}},
			{100, listAt(2, 52, []string{"a 7.3", "b 7.3"}), []string{"a 7.3", "b 7.3"}},
		}},
		{"or has started again", []step{
			first,
			{0, listAt(1, 101, []string{"a 7.5d", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{0, listAt(2, 50, []string{"a 8.1", "b 7.3"}), []string{"a 8.1", "b 7.3"}},
		}},
		{"or for a minute", []step{
			first,
			{0, listAt(1, 101, []string{"a 7.5d", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{0, listAt(2, 50, []string{"a 7.3", "b 7.3"}), []string{"a 7.5d", "b 7.3"}},
			{60_000, listAt(2, 50, []string{"a 7.3", "b 7.3"}), []string{"a 7.3", "b 7.3"}},
		}},
		{"words without numbers: what drains stays so", []step{
			{0, listAt(1, 1, []string{"a 0.0d"}), []string{"a 0.0d"}}, {0, listAt(2, 1, []string{"a 0.0"}), []string{"a 0.0d"}},
		}},
		{"what had left stays away", []step{
			first,
			{0, listAt(1, 101, []string{"b 7.3"}, leftWord("a 7.9", 1)), []string{"b 7.3"}},
			{1000, listAt(2, 50, []string{"a 7.8", "b 7.3"}), []string{"b 7.3"}},
			{1000, listAt(2, 51, []string{"a 7.8", "b 7.4"}), []string{"b 7.4"}},
			{1000, listAt(2, 52, []string{"a 7.10", "b 7.4"}), []string{"a 7.10", "b 7.4"}},
		}},
		{"what an unseen list said of it as well", []step{
			first,
			{0, listAt(1, 101, []string{"b 7.3"}, leftWord("a 7.9", 1), leftWord("c 7.4", 1)), []string{"b 7.3"}},
			{1000, listAt(2, 50, []string{"a 7.9", "b 7.3", "c 7.4"}), []string{"b 7.3"}},
		}},
		{"and what left without a last word, until it starts again", []step{
			first,
			{0, listAt(1, 101, []string{"b 7.3"}), []string{"b 7.3"}},
			{1000, listAt(2, 50, []string{"a 7.8", "b 7.3"}), []string{"b 7.3"}},
			{1000, listAt(2, 51, []string{"a 8.1", "b 7.3"}), []string{"a 8.1", "b 7.3"}},
		}},
		{"or another VM knows its last word", []step{
			first,
			{0, listAt(1, 101, []string{"b 7.3"}), []string{"b 7.3"}},
			{1000, listAt(2, 50, []string{"a 7.7", "b 7.3"}, leftWord("a 7.7", 1)), []string{"b 7.3"}},
			{1000, listAt(2, 51, []string{"a 7.8", "b 7.3"}), []string{"a 7.8", "b 7.3"}},
		}},
		{"what is not listed yet is kept for a while", []step{
			first,
			{0, listAt(2, 50, []string{"b 7.3"}), []string{"a 7.3", "b 7.3"}},
			{2900, listAt(2, 51, []string{"b 7.3"}), []string{"a 7.3", "b 7.3"}},
			{100, listAt(2, 51, []string{"b 7.3"}), []string{"b 7.3"}},
		}},
		{"and listed again", []step{
			first,
			{0, listAt(2, 50, []string{"b 7.3"}), []string{"a 7.3", "b 7.3"}},
			{1000, listAt(2, 51, []string{"a 7.6", "b 7.3"}), []string{"a 7.6", "b 7.3"}},
			{2000, listAt(2, 52, []string{"a 7.6", "b 7.3"}), []string{"a 7.6", "b 7.3"}},
			{0, listAt(2, 53, []string{"b 7.3"}), []string{"b 7.3"}},
		}},
		{"unless it is known to have left", []step{
			first, {0, listAt(2, 50, []string{"b 7.3"}, leftWord("a 7.9", 2)), []string{"b 7.3"}},
		}},
		{"several eras", []step{
			first,
			{0, listAt(1, 101, []string{"a 7.5d"}), []string{"a 7.5d"}},
			{0, listAt(2, 50, []string{"a 7.3", "b 7.3"}), []string{"a 7.5d"}},
			{500, listAt(3, 40, []string{"a 7.2", "b 7.2"}), []string{"a 7.5d"}},
			{500, listAt(5, 30, nil), []string{"a 7.5d"}},
			{3000, listAt(5, 31, nil), []string{}},
		}},
		{"a VM that starts is told what has left", []step{
			{0, listAt(2, 50, []string{"a 7.8", "b 7.3"}, leftWord("a 7.9", 1)), []string{"b 7.3"}},
			{1000, listAt(2, 51, []string{"a 7.8", "b 7.3"}), []string{"b 7.3"}},
			{1000, listAt(2, 52, []string{"a 7.10", "b 7.3"}), []string{"a 7.10", "b 7.3"}},
		}},
		{"but takes what is newer", []step{{0, listAt(2, 50, []string{"a 8.1"}, leftWord("a 7.9", 1)), []string{"a 8.1"}}}},
		{"and what has joined again in the same era", []step{{0, listAt(2, 50, []string{"a 7.8"}, leftWord("a 7.9", 2)), []string{"a 7.8"}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r thtable.KnownTargets
			now := thclock.At(time.Hour)
			for i, s := range c.steps {
				now = now.Add(time.Duration(s.afterMillis) * time.Millisecond)
				r, _ = r.WithList(now, s.list, now)
				assert.DeepEqual(t, texts(r.Targets()), s.want)
				again, kept := r.WithList(now, s.list, now)
				assert.DeepEqual(t, texts(again.Targets()), s.want)
				assert.Equal(t, len(kept), 0, "step %d", i)
			}
		})
	}
}

func TestTargetsKeptAgainstCopyAreTold(t *testing.T) {
	now := thclock.At(time.Hour)
	var r thtable.KnownTargets
	r, _ = r.WithList(now, listAt(1, 100, []string{"a 7.3", "b 7.3", "c 7.3", "d 7.3", "e 7.3"}), now)
	r, _ = r.WithList(now, listAt(1, 101, []string{"a 7.5d", "c 7.3", "d 7.6", "e 7.3"}, leftWord("b 7.4", 1)), now)
	r, kept := r.WithList(now, listAt(2, 50, []string{"a 7.3", "b 7.3", "d 7.5", "e 7.3"}), now)
	slices.SortFunc(kept, func(a, b thtable.Kept) int { return strings.Compare(a.ID, b.ID) })
	assert.DeepEqual(t, kept, []thtable.Kept{{ID: "a", Why: thtable.KeptDraining}, {ID: "b", Why: thtable.KeptLeft}, {ID: "c", Why: thtable.KeptUnlisted}, {ID: "d", Why: thtable.KeptNewer}})
	assert.Assert(t, !r.IsDue(now.Add(2900*time.Millisecond)))
	assert.Assert(t, r.IsDue(now.Add(3*time.Second)))
	told := r.WithKnowledge(listAt(2, 50, []string{"a 7.3", "b 7.3", "d 7.5", "e 7.3"}))
	assert.DeepEqual(t, told.Left, []thtable.LeftTarget{leftWord("b 7.4", 1)})
	assert.DeepEqual(t, told.Earlier, []thtable.EarlierTarget{{Target: word("a 7.5d"), Era: 1}, {Target: word("c 7.3"), Era: 1}, {Target: word("d 7.6"), Era: 1}})
	started, _ := thtable.KnownTargets{}.WithList(now, told, now)
	assert.DeepEqual(t, texts(started.Targets()), texts(r.Targets()))
	started, _ = started.WithList(now.Add(time.Second), listAt(2, 51, []string{"a 7.3", "b 7.3", "d 7.5", "e 7.3"}), now)
	assert.DeepEqual(t, texts(started.Targets()), texts(r.Targets()))
	_, kept = r.WithList(now, listAt(2, 51, []string{"a 7.3"}), now)
	assert.Equal(t, len(kept), 0)
}

// A VM that was cut off while the store came back kept targets that had left since.
func TestUnlistedTargetsAreKeptFromTheBeginningOfTheEra(t *testing.T) {
	now := thclock.At(time.Hour)
	r, _ := thtable.KnownTargets{}.WithList(now, listAt(1, 100, []string{"a 7.3", "b 7.3"}), now)
	since := now.Add(time.Second)
	late, kept := r.WithList(now.Add(10*time.Second), listAt(2, 50, []string{"b 7.3"}), since)
	assert.DeepEqual(t, texts(late.Targets()), []string{"b 7.3"})
	assert.Equal(t, len(kept), 0)
	assert.DeepEqual(t, texts(late.WithEraSince(now).Targets()), []string{"b 7.3"})
	early, _ := r.WithList(now.Add(2*time.Second), listAt(2, 50, []string{"b 7.3"}), since)
	assert.DeepEqual(t, texts(early.Targets()), []string{"a 7.3", "b 7.3"})
	assert.Assert(t, early.IsDue(since.Add(3*time.Second)))
	told := early.WithEraSince(since.Add(-2500 * time.Millisecond))
	assert.Assert(t, told.IsDue(since.Add(500*time.Millisecond)))
	told, _ = told.WithList(since.Add(500*time.Millisecond), listAt(2, 50, []string{"b 7.3"}), since)
	assert.DeepEqual(t, texts(told.Targets()), []string{"b 7.3"})
}

// Targets that left long ago are forgotten.
func TestKnownTargetsAreBounded(t *testing.T) {
	now := thclock.At(time.Hour)
	var r thtable.KnownTargets
	for i := range uint64(500) {
		r, _ = r.WithList(now, listAt(1, i+1, []string{fmt.Sprintf("t-%d 7.1", i)}), now)
		now = now.Add(time.Second)
	}
	left := r.WithKnowledge(thtable.TargetList{}).Left
	assert.Assert(t, len(left) <= 60, "%d", len(left))
	assert.Equal(t, len(r.Targets()), 1)
}

// Whatever the store lists after it has come back, as long as it comes from its past: what a VM knows of a
// target never goes back, and without a new era the list counts as it is.
func TestWordsOfTargetsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := thclock.At(time.Hour)
		// history holds the lists that the store has had, of which a copy may come back.
		history := []map[string]thtable.Target{{}}
		current := map[string]thtable.Target{}
		last := map[string]thtable.Target{} // the newest word of each target, listed or not
		gone := map[string]bool{}
		var r thtable.KnownTargets
		position := thtable.Position{Era: 1, Version: 1}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "millis")) * time.Millisecond)
			position.Version++
			var left []thtable.LeftTarget
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1: // the target writes
				w := last[id]
				w.ID, w.Sequence = id, w.Sequence+1
				if gone[id] || w.StartMillis == 0 {
					w = thtable.Target{ID: id, StartMillis: w.StartMillis + 1, Sequence: 1}
				}
				current[id], last[id], gone[id] = w, w, false
			case 2: // it drains
				if _, listed := current[id]; listed && !gone[id] {
					w := last[id]
					w.Draining, w.Sequence = true, w.Sequence+1
					current[id], last[id] = w, w
				}
			case 3: // it leaves
				if w, listed := current[id]; listed {
					delete(current, id)
					gone[id] = true
					left = append(left, thtable.LeftTarget{ID: id, StartMillis: last[id].StartMillis, Sequence: max(w.Sequence, last[id].Sequence), Era: position.Era})
				}
			case 4: // the store comes back from a copy
				current = map[string]thtable.Target{}
				for k, v := range history[rapid.IntRange(0, len(history)-1).Draw(t, "copy")] {
					current[k] = v
				}
				position = thtable.Position{Era: position.Era + 1, Version: uint64(rapid.IntRange(1, 50).Draw(t, "version"))}
			}
			snapshot := map[string]thtable.Target{}
			list := thtable.TargetList{Position: position, Left: left}
			for k, v := range current {
				snapshot[k] = v
				list.Targets = append(list.Targets, v)
			}
			history = append(history, snapshot)
			r, _ = r.WithList(now, list, now)
			for _, w := range r.Targets() {
				assert.Assert(t, !gone[w.ID], "%s is used after it has left", w.ID)
				assert.DeepEqual(t, w, last[w.ID])
			}
		}
	})
}
