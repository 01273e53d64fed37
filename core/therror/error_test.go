package therror_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"tamarackhollow/core/therror"

	"gotest.tools/v3/assert"
)

func TestKindsAreDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/ERRORS.md")
	assert.NilError(t, err)
	var rows []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| kind |") && !strings.HasPrefix(line, "| --- |") {
			rows = append(rows, line)
		}
	}
	assert.Equal(t, len(rows), len(therror.Kinds()))
	for i, k := range therror.Kinds() {
		a := k.Answer()
		rowPrefix := fmt.Sprintf("| %s | %d | %s | ", a.Name, a.Status, a.Outcome)
		assert.Assert(t, strings.HasPrefix(rows[i], rowPrefix), "row %d of docs/ERRORS.md does not start with %q", i, rowPrefix)
		assert.Equal(t, strings.Count(rows[i], "|"), 7, "columns in the row of %s", a.Name)
	}
}

func TestKindNamesAreUnique(t *testing.T) {
	for _, k := range therror.Kinds() {
		found, ok := therror.KindByName(k.String())
		assert.Assert(t, ok && found == k, "%s", k)
	}
	_, ok := therror.KindByName("ofANewerVersion")
	assert.Assert(t, !ok)
}

// TestErrorsWithoutKnownKindHaveUnknownOutcome guards against telling a caller that
// its request did not run because an error lacks a kind.
func TestErrorsWithoutKnownKindHaveUnknownOutcome(t *testing.T) {
	var zero therror.Kind
	assert.Equal(t, zero.Answer().Outcome, therror.OutcomeUnknown)
	assert.Equal(t, therror.Kind(255).Answer().Outcome, therror.OutcomeUnknown)
	assert.Equal(t, therror.KindOf(errors.New("plain")), therror.Internal)
	assert.Equal(t, therror.KindOf(fmt.Errorf("around: %w", therror.New(therror.Shed, ""))), therror.Shed)
}
