package thtable_test

import (
	"testing"

	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

func table() thtable.Table {
	return thtable.New(thtable.Document{
		Version:     7,
		RequiresKey: true,
		Routes: []thtable.Route{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "B.example", Prefix: "/x/"},
		},
		Services:  []thtable.Service{{Name: "s", MaxConnections: 3}},
		Customers: []thtable.Customer{{Name: "c", Keys: []string{"k1", "k2"}}},
	})
}

func TestLongestPrefixWins(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", "all"},
		{"A.example:8080", "/x/1", "short"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
		{"a.example", "x", ""},
	} {
		r, ok := table().Route(c.host, c.path)
		assert.Equal(t, r.Name, c.want, "%s%s", c.host, c.path)
		assert.Equal(t, ok, c.want != "")
	}
}

func TestKeysAndServices(t *testing.T) {
	c, ok := table().Authenticate("k2")
	assert.Assert(t, ok)
	assert.Equal(t, c.Name, "c")
	_, ok = table().Authenticate("")
	assert.Assert(t, !ok)
	s, ok := table().Service("s")
	assert.Assert(t, ok)
	assert.Equal(t, s.MaxConnections, 3)
}

func TestZeroTable(t *testing.T) {
	var zero thtable.Table
	_, ok := zero.Route("a", "/")
	assert.Assert(t, !ok)
	_, ok = zero.Authenticate("k")
	assert.Assert(t, !ok)
	assert.Equal(t, zero.Version(), uint64(0))
}
