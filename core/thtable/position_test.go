package thtable_test

import (
	"testing"

	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

func TestPositionsAreOrderedByEraThenVersion(t *testing.T) {
	ordered := []thtable.Position{{}, {Version: 1}, {Version: 9}, {Era: 1}, {Era: 1, Version: 2}, {Era: 2, Version: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.IsBefore(b), i < j, "%v %v", a, b)
			assert.Equal(t, a.IsAfter(b), i > j, "%v %v", a, b)
		}
		assert.Equal(t, a.IsZero(), i == 0)
	}
}
