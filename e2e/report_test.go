package e2e_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thconfig"

	"gotest.tools/v3/assert"
)

// TestReportMergesAllVMsAndOutlastsThem counts what callers saw at three VMs,
// stops each of them and looks at the report of those that are left.
func TestReportMergesAllVMsAndOutlastsThem(t *testing.T) {
	r := newRig(t, 3, 3)
	r.prepare(1000, 1000)
	r.apply(r.vms[0], "counted", thconfig.SetCustomer{Customer: thconfig.Customer{
		Name: "counted", Rate: 1000, Burst: 1000, Deployment: "cordial",
	}})
	key, _ := r.issue("counted")
	for _, v := range r.vms {
		for range 10 {
			r.eventually("an answer", func() bool {
				return call(http.DefaultClient, v, request{path: "/stock/1", key: key}).status == http.StatusOK
			})
		}
	}
	r.eventually("every VM's requests are in the report", func() bool { return r.good(0, "counted") == 30 })
	assert.NilError(t, r.terminate(r.vms[0]))
	r.eventually("the report outlasts a planned stop", func() bool { return r.good(1, "counted") == 30 })
}

// good is how many good requests the report of one VM counts for a customer.
func (r *rig) good(vm int, customer string) uint32 {
	report, err := r.operator(r.vms[vm]).Report(context.Background(), thburn.Query{Customer: customer})
	if err != nil || len(report.Missing) > 0 || len(report.Rows) == 0 {
		return 0
	}
	windows := report.Rows[0].Windows
	return windows[len(windows)-1].Counts.Good
}

func TestMetricsAreServed(t *testing.T) {
	r := newRig(t, 1, 1)
	key := r.prepare(1000, 1000)
	assert.Equal(t, call(http.DefaultClient, r.vms[0], request{path: "/stock/1", key: "th.no.such"}).status, http.StatusUnauthorized)
	assert.Equal(t, call(http.DefaultClient, r.vms[0], request{path: "/stock/1", key: key}).status, http.StatusOK)
	a, err := http.Get("http://" + r.vms[0].metrics + "/")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, a.Body.Close()) }()
	data, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	var m struct {
		Requests struct {
			Answered uint64            `json:"answered"`
			Refused  map[string]uint64 `json:"refused"`
		} `json:"requests"`
		Agreement struct {
			FreshMillis int64  `json:"freshMillis"`
			Version     uint64 `json:"version"`
		} `json:"agreement"`
	}
	assert.NilError(t, json.Unmarshal(data, &m), string(data))
	assert.Assert(t, m.Requests.Answered >= 1 && m.Requests.Refused["keyUnknown"] >= 1, string(data))
	assert.Assert(t, m.Agreement.FreshMillis > 0 && m.Agreement.Version > 0, string(data))
	checkMetricsDocumented(t, data)
}

// checkMetricsDocumented compares the served names with docs/METRICS.md.
func checkMetricsDocumented(t *testing.T, served []byte) {
	t.Helper()
	page, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	var groups map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(served, &groups))
	names := map[string]bool{}
	for group, data := range groups {
		var fields map[string]json.RawMessage
		if json.Unmarshal(data, &fields) != nil {
			names[group] = true
		}
		for field := range fields {
			names[group+"."+field] = true
		}
	}
	for name := range names {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), "docs/METRICS.md lacks %s", name)
	}
	for _, row := range strings.Split(string(page), "\n| `")[1:] {
		first, _, _ := strings.Cut(row, " |")
		for _, name := range strings.Split(first, ", ") {
			name = strings.Trim(name, "`")
			assert.Assert(t, names[name], "docs/METRICS.md lists %s, which is not served", name)
		}
	}
}
