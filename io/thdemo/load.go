package thdemo

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"tamarackhollow/core/thmessage"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	callerTimeout   = 5 * time.Second
	callersPerGroup = 4
	// overdrive is how many times its rate the last customer sends.
	overdrive = 4
	// underdrive is the share of their rate that the others send.
	underdrive = 0.5

	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// load has every customer call all VMs in turn until the demo's end.
func (d *demo) load(ctx context.Context, t *tally) {
	ctx, cancel := context.WithDeadline(ctx, d.o.Until)
	defer cancel()
	var all sync.WaitGroup
	for i, k := range d.keys {
		rate := customers[i].Rate * underdrive
		if i == len(d.keys)-1 {
			rate = customers[i].Rate * overdrive
		}
		for j := range callersPerGroup {
			all.Go(func() { d.caller(ctx, t, k, j, rate/callersPerGroup) })
		}
	}
	all.Wait()
}

// caller sends at an even pace over one connection to each VM.
func (d *demo) caller(ctx context.Context, t *tally, k customerKey, j int, rate float64) {
	c := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	pace := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer pace.Stop()
	for n := j; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
		}
		s := services[n%len(services)]
		t.add(k.customer, send(c, d.callers[n%len(d.callers)], s, k.key, n))
	}
}

// outcome is what one call came to.
type outcome struct {
	kind    string
	latency time.Duration
}

func send(c *http.Client, address string, s serviceShape, key string, n int) outcome {
	method, body := http.MethodGet, ""
	if s.name == "dispatch" {
		method, body = http.MethodPost, `{"pallets":1}`
	}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s%s/%d", address, s.path, n), strings.NewReader(body))
	if err != nil {
		return outcome{kind: "broken"}
	}
	q.Host = host
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set(thmessage.DefaultHeaderNames().RequestID, rand.Text())
	began := time.Now()
	a, err := c.Do(q)
	if err != nil {
		return outcome{kind: "broken", latency: time.Since(began)}
	}
	defer func() { _ = a.Body.Close() }()
	answer, err := io.ReadAll(a.Body)
	o := outcome{latency: time.Since(began)}
	var refusal struct {
		Error string `json:"error"`
	}
	switch {
	case err != nil:
		o.kind = "broken"
	case a.StatusCode == http.StatusOK:
	case json.Unmarshal(answer, &refusal) == nil && refusal.Error != "":
		o.kind = refusal.Error
	default:
		o.kind = fmt.Sprintf("target%d", a.StatusCode)
	}
	return o
}

// tally counts what the callers saw.
type tally struct {
	mu   sync.Mutex
	rows map[string]*tallyRow
}

type tallyRow struct {
	served  int64
	refused map[string]int64
	latency *hdrhistogram.Histogram
}

func newTally() *tally { return &tally{rows: make(map[string]*tallyRow)} }

func (t *tally) add(customer string, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[customer]
	if r == nil {
		r = &tallyRow{refused: make(map[string]int64), latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
		t.rows[customer] = r
	}
	if o.kind != "" {
		r.refused[o.kind]++
		return
	}
	r.served++
	_ = r.latency.RecordValue(o.latency.Microseconds())
}

func (t *tally) print(w io.Writer, d *demo) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "CUSTOMER\tRATE\tSERVED\tP50\tP99\tNOT SERVED")
	for _, u := range customers {
		r := t.rows[u.Name]
		if r == nil {
			continue
		}
		p50 := time.Duration(r.latency.ValueAtQuantile(50)) * time.Microsecond
		p99 := time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
		_, _ = fmt.Fprintf(tw, "%s\t%g/s\t%d\t%v\t%v\t%s\n", u.Name, u.Rate, r.served, p50, p99, kinds(r.refused))
	}
	_ = tw.Flush()
	_, _ = fmt.Fprintln(w)
	tw = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "SERVICE\tTARGET\tBEHAVIOUR\tRAN")
	for _, s := range services {
		for i, target := range d.targets[s.name] {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\n", s.name, target.Address(), describe(i), len(target.Runs()))
		}
	}
	_ = tw.Flush()
}

func describe(i int) string {
	switch i {
	case 1:
		return "slow"
	case 2:
		return "fails half, says it is well"
	}
	return "well"
}

func kinds(refused map[string]int64) string {
	names := make([]string, 0, len(refused))
	for name := range refused {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, refused[name]))
	}
	return strings.Join(parts, ", ")
}
