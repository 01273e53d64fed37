package thfake_test

import (
	"testing"

	"tamarackhollow/io/thfake"

	"gotest.tools/v3/assert"
)

// Two listeners of one VM must not be given the same address.
func TestFreeAddressesAreDifferent(t *testing.T) {
	for range 2000 {
		addresses, err := thfake.FreeAddresses(4)
		assert.NilError(t, err)
		seen := map[string]bool{}
		for _, a := range addresses {
			assert.Assert(t, !seen[a], "%s is given twice in %v", a, addresses)
			seen[a] = true
		}
	}
}
