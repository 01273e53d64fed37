package thconfig_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
)

// BenchmarkAuthenticate finds a key's customer, the route and whether the
// customer may use it, as each request does.
func BenchmarkAuthenticate(b *testing.B) {
	for _, z := range sizes[:4] {
		b.Run(z.String(), func(b *testing.B) {
			c := build(b, z)
			text, _ := thconfig.NewKey("customer-00002", "key-00002", []byte("0123456789abcdef"))
			path := c.Routes()[0].Prefix + "/a/b"
			for b.Loop() {
				u, ok := c.Authenticate(text)
				assert.Assert(b, ok)
				r, _ := c.Route(path)
				c.Allows(u, r)
			}
		})
	}
}
