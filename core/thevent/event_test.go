package thevent_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"tamarackhollow/core/thevent"

	"gotest.tools/v3/assert"
)

func TestCatalogueIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	levels := map[thevent.Level]string{thevent.Info: "info", thevent.Warn: "warn", thevent.Fault: "fault"}
	rows := 0
	for line := range strings.Lines(string(data)) {
		if len(line) > 2 && line[2] >= '0' && line[2] <= '9' {
			rows++
		}
	}
	assert.Equal(t, rows, len(thevent.Catalogue()))
	for _, e := range thevent.Catalogue() {
		rowPrefix := fmt.Sprintf("| %d | %s | %s | ", e.ID, e.Name, levels[e.Level])
		assert.Assert(t, strings.Contains(string(data), rowPrefix), "docs/EVENTS.md has no row starting with %q", rowPrefix)
	}
}

func TestEventNumbersAreUnique(t *testing.T) {
	seen := map[thevent.ID]string{}
	for _, e := range thevent.Catalogue() {
		assert.Equal(t, seen[e.ID], "", "number %d is used twice", e.ID)
		seen[e.ID] = e.Name
		found, ok := thevent.Lookup(e.ID)
		assert.Assert(t, ok)
		assert.Equal(t, found.Name, e.Name)
	}
	_, ok := thevent.Lookup(1)
	assert.Assert(t, !ok)
}
