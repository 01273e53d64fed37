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
	callerTimeout      = 5 * time.Second
	callersPerCustomer = 4
	// overloadFactor is the last customer's request rate, as a multiple of its
	// allowed rate.
	overloadFactor = 4
	// normalLoadShare is the other customers' request rate, as a share of their
	// allowed rates.
	normalLoadShare = 0.5

	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// runCallers runs the callers of all customers until the demo's end and waits for
// them. Each customer's callers divide its request rate among them.
func (d *demo) runCallers(ctx context.Context, t *tally) {
	ctx, cancel := context.WithDeadline(ctx, d.options.Until)
	defer cancel()
	var all sync.WaitGroup
	for i, k := range d.keys {
		rate := customers[i].Rate * normalLoadShare
		if i == len(d.keys)-1 {
			rate = customers[i].Rate * overloadFactor
		}
		for offset := range callersPerCustomer {
			all.Go(func() { d.runCaller(ctx, t, k, offset, rate/callersPerCustomer) })
		}
	}
	all.Wait()
}

// runCaller sends requests at an even rate per second to the VMs and services in
// turn, beginning with the given offset. The HTTP client keeps one connection to
// each VM.
func (d *demo) runCaller(ctx context.Context, t *tally, k customerKey, offset int, rate float64) {
	c := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := offset; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := services[n%len(services)]
		t.add(k.customer, send(c, d.callerAddresses[n%len(d.callerAddresses)], s, k.key, n))
	}
}

// outcome is the result of one request.
type outcome struct {
	// failure is empty if the request was served, and otherwise the refusal's
	// name, "target" and the status, or "noAnswer" if no whole answer arrived.
	failure string
	latency time.Duration
}

// send sends one request for the service to the VM at the address, with the
// number n in its path.
func send(c *http.Client, address string, s demoService, key string, n int) outcome {
	method, body := http.MethodGet, ""
	if s.name == "dispatch" {
		method, body = http.MethodPost, `{"pallets":1}`
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s/%d", address, s.pathPrefix, n), strings.NewReader(body))
	if err != nil {
		return outcome{failure: "noAnswer"}
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(thmessage.DefaultHeaderNames().RequestID, rand.Text())
	began := time.Now()
	response, err := c.Do(request)
	if err != nil {
		return outcome{failure: "noAnswer", latency: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	o := outcome{latency: time.Since(began)}
	var refusal struct {
		Error string `json:"error"`
	}
	switch {
	case err != nil:
		o.failure = "noAnswer"
	case response.StatusCode == http.StatusOK:
	case json.Unmarshal(answer, &refusal) == nil && refusal.Error != "":
		o.failure = refusal.Error
	default:
		o.failure = fmt.Sprintf("target%d", response.StatusCode)
	}
	return o
}

// tally counts the outcomes of all requests by customer.
type tally struct {
	mu   sync.Mutex
	rows map[string]*tallyRow
}

// tallyRow holds the counts of one customer.
type tallyRow struct {
	served int64
	// failures counts the requests that were not served, keyed by
	// outcome.failure.
	failures map[string]int64
	// latency holds the latencies of served requests, in microseconds.
	latency *hdrhistogram.Histogram
}

func newTally() *tally { return &tally{rows: make(map[string]*tallyRow)} }

func (t *tally) add(customer string, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[customer]
	if r == nil {
		r = &tallyRow{failures: make(map[string]int64), latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)}
		t.rows[customer] = r
	}
	if o.failure != "" {
		r.failures[o.failure]++
		return
	}
	r.served++
	_ = r.latency.RecordValue(o.latency.Microseconds())
}

// print writes two tables: served and failed requests by customer, and the
// number of requests that each target ran.
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
		_, _ = fmt.Fprintf(tw, "%s\t%g/s\t%d\t%v\t%v\t%s\n", u.Name, u.Rate, r.served, p50, p99, formatFailures(r.failures))
	}
	_ = tw.Flush()
	_, _ = fmt.Fprintln(w)
	tw = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "SERVICE\tTARGET\tBEHAVIOUR\tRAN")
	for _, s := range services {
		for i, target := range d.targets[s.name] {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\n", s.name, target.Address(), describeTarget(i), len(target.Runs()))
		}
	}
	_ = tw.Flush()
}

// describeTarget describes the behaviour that targetBehaviour gives to index i.
func describeTarget(i int) string {
	switch i {
	case 1:
		return "slow"
	case 2:
		return "fails half its requests"
	}
	return "healthy"
}

// formatFailures returns the failures and their counts, sorted by name.
func formatFailures(failures map[string]int64) string {
	names := make([]string, 0, len(failures))
	for name := range failures {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, failures[name]))
	}
	return strings.Join(parts, ", ")
}
