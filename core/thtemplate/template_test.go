package thtemplate_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thtemplate"
)

func example(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".toml")
	assert.NilError(t, err)
	return string(data)
}

func put(t *testing.T, c thconfig.Config, change thconfig.Change) thconfig.Config {
	t.Helper()
	r, err := thconfig.NextRecord(c, "id", change)
	assert.NilError(t, err)
	n, err := c.WithRecord(r)
	assert.NilError(t, err)
	return n
}

func deployed(t *testing.T, name string) thconfig.Config {
	t.Helper()
	var c thconfig.Config
	p, err := thtemplate.TemplateChange(c, example(t, name))
	assert.NilError(t, err)
	c = put(t, c, p)
	q, err := thtemplate.ParseRequest(example(t, name+"-deployment"))
	assert.NilError(t, err)
	d, err := q.Change(c)
	assert.NilError(t, err)
	return put(t, c, d)
}

func TestExamplesExpandToTheBrief(t *testing.T) {
	for name, want := range map[string]struct {
		services, slots, connections int
		targets                      map[string]int
	}{
		"nyabugogo": {3, 2, 300, map[string]int{"inventory": 6, "dispatch": 10, "quality": 8}},
		"teifi":     {3, 6, 350, map[string]int{"catalogue": 6, "orders": 10, "proofs": 15}},
	} {
		c := deployed(t, name)
		assert.Equal(t, len(c.Services()), want.services)
		assert.Equal(t, len(c.Customers()), 8)
		for _, s := range c.Services() {
			assert.Equal(t, s.Slots, want.slots)
			assert.Equal(t, s.Connections, want.connections)
			assert.Equal(t, len(s.Targets), want.targets[s.Name], s.Name)
			assert.Assert(t, s.Floor > 0)
		}
	}
}

func TestTemplateChangeExpandsDeploymentsAgain(t *testing.T) {
	c := deployed(t, "teifi")
	drained := thconfig.Target{Address: "127.0.0.1:19400", Zone: "ceredigion-a", Leaving: true}
	c = put(t, c, thconfig.SetTarget{Service: "catalogue", Target: drained})
	source := strings.Replace(example(t, "teifi"), "latencyMillis = 150", "latencyMillis = 120", 1)
	p, err := thtemplate.TemplateChange(c, source)
	assert.NilError(t, err)
	c = put(t, c, p)
	s, _ := c.Service("catalogue")
	assert.Equal(t, s.Objective.LatencyMillis, 120)
	assert.Assert(t, s.Targets[0].Leaving)
}

func TestRefusalsNamePlaceAndReason(t *testing.T) {
	cases := []struct{ name, file, from, to, want string }{
		{"syntax", "", `template = "teifi"`, `template = teifi`, "line 2"},
		{"unknown key", "", `shedStatus = 503`, `shedState = 503`, `services[0]: unknown field "shedState"`},
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
