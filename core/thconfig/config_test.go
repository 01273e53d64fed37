package thconfig_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
)

func deployment() thconfig.Deployment {
	return thconfig.Deployment{
		Name: "cordial",
		Services: []thconfig.Service{{
			Name: "inventory", Slots: 2, Connections: 300, Floor: 0.5,
			Targets: []thconfig.Target{{Address: "127.0.0.1:9001", Zone: "a"}},
		}},
		Routes: []thconfig.Route{{Name: "stock", Prefix: "/stock", Service: "inventory"}},
	}
}

func apply(t *testing.T, c thconfig.Config, change thconfig.Change) thconfig.Config {
	t.Helper()
	r, err := thconfig.NextRecord(c, "change", change)
	assert.NilError(t, err)
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	var back thconfig.Record
	assert.NilError(t, json.Unmarshal(data, &back))
	n, err := c.WithRecord(back)
	assert.NilError(t, err)
	return n
}

func filled(t *testing.T) (thconfig.Config, string) {
	t.Helper()
	var c thconfig.Config
	c = apply(t, c, thconfig.PutDeployment{
		Deployment: deployment(),
		Customers:  []thconfig.Customer{{Name: "depot", Rate: 5, Burst: 3}},
	})
	text, key := thconfig.NewKey("depot", "k1", []byte("0123456789abcdef"))
	return apply(t, c, thconfig.IssueKey{Key: key}), text
}

func TestKeyWorksUntilWithdrawnForGood(t *testing.T) {
	c, text := filled(t)
	u, ok := c.Authenticate(text)
	assert.Assert(t, ok)
	assert.Equal(t, u.Name, "depot")
	_, ok = c.Authenticate(text + "0")
	assert.Assert(t, !ok)
	k, _ := c.Key("k1")
	c = apply(t, c, thconfig.WithdrawKey{ID: "k1"})
	_, ok = c.Authenticate(text)
	assert.Assert(t, !ok)
	err := c.Check(thconfig.IssueKey{Key: k})
	assert.ErrorContains(t, err, "was withdrawn")
}

func TestSnapshotRoundTrip(t *testing.T) {
	c, text := filled(t)
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	var back thconfig.Config
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Equal(t, back.Version(), c.Version())
	assert.Equal(t, back.Digest(), c.Digest())
	_, ok := back.Authenticate(text)
	assert.Assert(t, ok)
}

func TestRecordMustChainOn(t *testing.T) {
	c, _ := filled(t)
	r, err := thconfig.NextRecord(c, "x", thconfig.WithdrawKey{ID: "k1"})
	assert.NilError(t, err)
	r.Digest = "0" + r.Digest[1:]
	_, err = c.WithRecord(r)
	assert.Assert(t, therror.Is(err, therror.MessageStale), "%v", err)
	r.Version++
	_, err = c.WithRecord(r)
	assert.Assert(t, therror.Is(err, therror.MessageStale), "%v", err)
}

func TestRouteLongestPrefixAtSegments(t *testing.T) {
	c, _ := filled(t)
	for path, found := range map[string]bool{"/stock": true, "/stock/7": true, "/stocks": false, "/": false, "": false} {
		_, ok := c.Route(path)
		assert.Equal(t, ok, found, path)
	}
}

// A VM that joins between an operator's reading and its change is no conflict.
func TestPreconditionCountsOperatorsChangesOnly(t *testing.T) {
	c, _ := filled(t)
	read := c.Version()
	c = apply(t, c, thconfig.ChangeMembers{Join: []throster.VM{{ID: "vm1", PeerAddress: "127.0.0.1:9", Zone: "a", Incarnation: 1}}})
	assert.NilError(t, c.CheckPrecondition(read))
	assert.NilError(t, c.CheckPrecondition(c.Version()))
	assert.NilError(t, c.CheckPrecondition(0))
	assert.Assert(t, therror.Is(c.CheckPrecondition(c.Version()+1), therror.ChangeConflict))
	c = apply(t, c, thconfig.WithdrawKey{ID: "k1"})
	assert.Assert(t, therror.Is(c.CheckPrecondition(read), therror.ChangeConflict))
}

func TestCustomerSinceSurvivesASnapshotAndDistrustsNamesUsedBefore(t *testing.T) {
	c, _ := filled(t)
	assert.Equal(t, c.CustomerSince("depot"), uint64(1))
	assert.Equal(t, c.CustomerSince("nobody"), uint64(0))
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	var back thconfig.Config
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.Equal(t, back.CustomerSince("depot"), uint64(1))
	u, _ := c.Customer("depot")
	c = apply(t, c, thconfig.RemoveCustomer{Name: "depot"})
	c = apply(t, c, thconfig.SetCustomer{Customer: u})
	assert.Equal(t, c.CustomerSince("depot"), uint64(0))
}
