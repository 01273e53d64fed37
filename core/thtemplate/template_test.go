package thtemplate_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thtemplate"
)

func example(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".toml")
	assert.NilError(t, err)
	return string(data)
}

func expanded(t *testing.T, name string) thtemplate.Expansion {
	t.Helper()
	p, err := thtemplate.Parse(example(t, name))
	assert.NilError(t, err)
	q, err := thtemplate.ParseRequest(example(t, name+"-deployment"))
	assert.NilError(t, err)
	e, err := p.Expand(q.Deployment, q.Parameters)
	assert.NilError(t, err)
	return e
}

func TestExamplesExpandToTheBrief(t *testing.T) {
	for name, want := range map[string]struct {
		services, slots, connections int
		targets                      map[string]int
	}{
		"nyabugogo": {3, 2, 300, map[string]int{"inventory": 6, "dispatch": 10, "quality": 8}},
		"teifi":     {3, 6, 350, map[string]int{"catalogue": 6, "orders": 10, "proofs": 15}},
	} {
		e := expanded(t, name)
		assert.Equal(t, len(e.Deployment.Services), want.services)
		assert.Equal(t, len(e.Customers), 8)
		for _, s := range e.Deployment.Services {
			assert.Equal(t, s.Slots, want.slots)
			assert.Equal(t, s.Connections, want.connections)
			assert.Equal(t, len(s.Targets), want.targets[s.Name], s.Name)
			assert.Assert(t, s.Floor > 0)
		}
	}
}

// TestDocument follows a request through the table that an expansion comes to.
func TestDocument(t *testing.T) {
	e := expanded(t, "nyabugogo")
	e.Customers[0].Keys = []string{"wholesalers-key"}
	table := thtable.New(e.Document(4))
	assert.Equal(t, table.Version(), uint64(4))
	assert.Assert(t, table.RequiresKey())
	r, ok := table.Route("nyabugogo.example", "/stock/batch/7")
	assert.Assert(t, ok)
	assert.Assert(t, r.IsIdempotent())
	assert.Equal(t, r.MaxAttempts, 2)
	assert.Equal(t, r.TimeoutMillis, int64(3000))
	assert.Equal(t, r.LatencyObjectiveMillis, int64(250))
	_, ok = table.Route("nyabugogo.example", "/stocks")
	assert.Assert(t, !ok)
	r, ok = table.Route("nyabugogo.example", "/dispatch/7")
	assert.Assert(t, ok)
	assert.Equal(t, r.Safety, thtable.AtMostOnce)
	assert.Equal(t, r.MaxAttempts, 1)
	c, ok := table.Authenticate("wholesalers-key")
	assert.Assert(t, ok)
	assert.Equal(t, c.Rate, 120.0)
	assert.Assert(t, c.MayUse(r))
	for _, u := range table.Document().Customers {
		assert.Equal(t, u.MayUse(r), u.Name != "quality-lab" && u.Name != "price-printers", u.Name)
	}
	assert.Equal(t, len(e.Targets()), 24)
}

func TestRefusalsNamePlaceAndReason(t *testing.T) {
	cases := []struct{ name, file, from, to, want string }{
		{"syntax", "", `template = "teifi"`, `template = teifi`, "line 2"},
		{"unknown key", "", `timeoutMillis = `, `timeout = `, `services[0]: unknown field "timeout"`},
		{"safety", "", `safety = "upload"`, `safety = "perhaps"`, `route proofs: safety "perhaps" must be idempotent, once or upload`},
		{"host", "", "name = \"orders\"\nhost = \"teifi.example\"", `name = "orders"`, "route orders: host is missing"},
		{"key held twice", "-deployment", `burst = 300`, `burst = 300, keys = ["k", "k"]`, "customer member-printers: a key is empty or held by customer member-printers too"},
		{"name twice", "-deployment", `name = "colleges"`, `name = "member-printers"`, "customer member-printers: stands twice"},
		{"prefix twice", "", `prefix = "/orders"`, `prefix = "/dies"`, "belong to route dies already"},
		{"type", "", `slots = 6`, `slots = "six"`, "services[0]"},
		{"undeclared", "", `"${floor}"`, `"${flor}"`, "services[0].floor refers to the parameter flor"},
		{"unused", "", `"${floor}"`, `0.5`, "floor is declared but nothing refers to it"},
		{"no floor", "", "name = \"proofs\"\ntargets = \"${proofTargets}\"\nslots = 6\nconnections = 350\nfloor = \"${floor}\"", "name = \"proofs\"\ntargets = \"${proofTargets}\"\nslots = 6\nconnections = 350", "services[2] (proofs): floor is missing"},
		{"route", "", `service = "proofs"`, `service = "proof"`, `no service "proof"`},
		{"missing parameter", "-deployment", "[parameters]", "[parameters]\n#", "parameter catalogueTargets (targets) is missing: targets of the die catalogue"},
		{"rate", "-deployment", "rate = 150", "rate = 15000", "parameter customers (customers): [0] (member-printers): rate 15000 must be at most 500"},
		{"address", "-deployment", "127.0.0.1:19400", "localhost:19400", `[0]: address "localhost:19400" must be IP:port`},
		{"unknown parameter", "-deployment", "[parameters]", "[parameters]\nfoo = 3", "no parameter foo"},
		{"customer's route", "-deployment", `["proofs"]`, `["proof"]`, `no route "proof"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			template, deployment := example(t, "teifi"), example(t, "teifi-deployment")
			changed := &template
			if tc.file != "" {
				changed = &deployment
			}
			n := 1
			if tc.name == "unused" {
				n = -1
			}
			assert.Assert(t, strings.Contains(*changed, tc.from))
			*changed = strings.Replace(*changed, tc.from, tc.to, n)
			if tc.name == "missing parameter" {
				deployment = withoutFirstList(deployment)
			}
			err := tryBoth(template, deployment)
			assert.Assert(t, therror.Is(err, therror.ChangeInvalid), "%v", err)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func withoutFirstList(deployment string) string {
	i := strings.Index(deployment, "#\ncatalogueTargets")
	j := strings.Index(deployment, "orderTargets")
	return deployment[:i] + "\n" + deployment[j:]
}

func tryBoth(template, deployment string) error {
	t, err := thtemplate.Parse(template)
	if err != nil {
		return err
	}
	q, err := thtemplate.ParseRequest(deployment)
	if err != nil {
		return err
	}
	_, err = t.Expand(q.Deployment, q.Parameters)
	return err
}
