package thmetrics_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
	"tamarackhollow/io/thmetrics"
)

type stats struct {
	Parts     int
	VMsHeard  uint64
	InFlight  []int
	Longest   time.Duration
	Nested    struct{ URL string }
	forgotten int
}

func TestServedNamesAreCamelCase(t *testing.T) {
	var r thmetrics.Registry
	r.Counter("retries").Add(3)
	thmetrics.Publish(&r, "limits", func() stats {
		return stats{Parts: 2, VMsHeard: 5, InFlight: []int{1}, Longest: 3 * time.Second, forgotten: 1}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := thmetrics.NewServer(&r)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { assert.NilError(t, s.Shutdown()) })
	a, err := http.Get("http://" + l.Addr().String() + "/metrics")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, a.Body.Close()) }()
	data, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	var got map[string]any
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.DeepEqual(t, got, map[string]any{
		"retries": 3.0,
		"limits": map[string]any{
			"parts": 2.0, "vmsHeard": 5.0, "inFlight": []any{1.0}, "longest": 3000.0, "nested": map[string]any{"url": ""},
		},
	})
}

func TestRequestsCountByKind(t *testing.T) {
	r := thmetrics.NewRequests()
	for range 99 {
		r.Record(thburn.Observation{Status: 200, Latency: 10 * time.Millisecond}, time.Millisecond)
	}
	r.Record(thburn.Observation{Refused: true, Kind: therror.QueueFull}, 0)
	s := r.Stats()
	assert.Equal(t, s.Answered, uint64(99))
	assert.DeepEqual(t, s.Refused, map[string]uint64{"queueFull": 1})
	assert.Assert(t, s.AddedP99Micros >= 990 && s.AddedP99Micros <= 1010, "%d", s.AddedP99Micros)
	assert.Assert(t, s.TotalP50Micros >= 9900 && s.TotalP50Micros <= 10100, "%d", s.TotalP50Micros)
}
