package thdiff_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thdiff"
)

func with(t *testing.T, c thconfig.Config, change thconfig.Change) thconfig.Config {
	t.Helper()
	r, err := thconfig.NextRecord(c, "id", change)
	assert.NilError(t, err)
	n, err := c.WithRecord(r)
	assert.NilError(t, err)
	return n
}

func TestBetween(t *testing.T) {
	service := thconfig.Service{
		Name: "orders", Slots: 6, Connections: 350, Floor: 0.5,
		Targets: []thconfig.Target{{Address: "127.0.0.1:1", Zone: "a"}, {Address: "127.0.0.1:2", Zone: "b"}},
	}
	var empty thconfig.Config
	before := with(t, empty, thconfig.PutDeployment{
		Deployment: thconfig.Deployment{
			Name: "teifi", Services: []thconfig.Service{service},
			Routes: []thconfig.Route{{Name: "orders", Prefix: "/orders", Service: "orders"}},
		},
		Customers: []thconfig.Customer{{Name: "guilds", Rate: 5, Burst: 9}, {Name: "chapels", Rate: 1, Burst: 1}},
	})
	after := with(t, before, thconfig.SetCustomer{Customer: thconfig.Customer{Name: "guilds", Rate: 7, Burst: 9, Deployment: "teifi"}})
	after = with(t, after, thconfig.RemoveCustomer{Name: "chapels"})
	after = with(t, after, thconfig.SetTarget{Service: "orders", Target: thconfig.Target{Address: "127.0.0.1:2", Zone: "b", Leaving: true}})
	_, k := thconfig.NewKey("guilds", "k1", []byte("secret"))
	after = with(t, after, thconfig.IssueKey{Key: k})
	assert.DeepEqual(t, thdiff.Between(before, after), []thdiff.Line{
		{Sign: thdiff.Changed, Item: "service", Name: "orders", Field: "targets[127.0.0.1:2].leaving", After: "true"},
		{Sign: thdiff.Changed, Item: "customer", Name: "guilds", Field: "rate", Before: "5", After: "7"},
		{Sign: thdiff.Removed, Item: "customer", Name: "chapels", Before: "rate 1, burst 1"},
		{Sign: thdiff.Added, Item: "key", Name: "k1", After: "customer guilds"},
	})
	assert.Equal(t, len(thdiff.Between(after, after)), 0)
}
