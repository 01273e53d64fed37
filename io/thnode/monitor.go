package thnode

import (
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// monitor serves the load balancer's readiness checks, and metrics in
// Prometheus's text format.
type monitor struct {
	node *Node
	set  *metrics.Set
	// uncounted counts the requests left out of the burn report because its
	// recorder is full.
	uncounted *metrics.Counter
	readiness *fasthttp.Server
	metrics   *fasthttp.Server
}

func newMonitor(node *Node) *monitor {
	m := &monitor{node: node, set: metrics.NewSet()}
	m.uncounted = m.set.NewCounter("burn_uncounted_total")
	m.readiness = newServer(func(c *fasthttp.RequestCtx) {
		switch {
		case string(c.Path()) != node.options.ReadinessPath:
			c.SetStatusCode(fasthttp.StatusNotFound)
		case !node.IsReady():
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	m.metrics = newServer(func(c *fasthttp.RequestCtx) {
		c.SetContentType("text/plain; version=0.0.4")
		m.writeMetrics(c)
	})
	m.registerGauges()
	return m
}

// monitorIdleTimeout is how long idle connections stay open.
const monitorIdleTimeout = time.Minute

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: h, IdleTimeout: monitorIdleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{}}
}

// discardLogger drops the HTTP library's own log lines, which have no event
// number.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// start starts the servers for readiness and metrics.
func (m *monitor) start() {
	m.listen(m.node.options.Settings.Listen.Readiness, m.readiness)
	m.listen(m.node.options.Settings.Listen.Metrics, m.metrics)
}

// listen serves on the address, unless that is empty. Errors are only logged.
func (m *monitor) listen(address string, s *fasthttp.Server) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		m.node.options.Log.Log(thevent.AcceptFailed, thevent.F("address", address), thevent.F("error", err.Error()))
		return
	}
	go func() {
		if err := s.Serve(l); err != nil {
			m.node.options.Log.Log(thevent.AcceptFailed, thevent.F("address", address), thevent.F("error", err.Error()))
		}
	}()
}

// recordRequest counts a request that ended and its duration.
func (m *monitor) recordRequest(e thingress.RequestResult) {
	kind := "none"
	if e.Refused {
		kind = e.Kind.String()
	}
	route := e.Request.Route.Name
	if route == "" {
		route = "none"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,status=\"%d\",refusal=%q}", route, e.Status, kind)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("request_seconds{route=%q}", route)).Update(e.Took.Seconds())
}

// recordAttempt counts an attempt and its duration; newConnection tells whether a
// connection was opened for it.
func (n *Node) recordAttempt(service string, end thpick.AttemptEnd, took time.Duration, newConnection bool) {
	m := n.monitor
	m.set.GetOrCreateCounter(fmt.Sprintf("attempts_total{service=%q,end=%q}", service, end)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("attempt_seconds{service=%q}", service)).Update(took.Seconds())
	if newConnection {
		m.set.GetOrCreateCounter(fmt.Sprintf("connections_made_total{service=%q}", service)).Inc()
	}
}

// recordWait records how long a request has waited for a slot.
func (n *Node) recordWait(service string, waited time.Duration) {
	n.monitor.set.GetOrCreateHistogram(fmt.Sprintf("slot_wait_seconds{service=%q}", service)).Update(waited.Seconds())
}

// recordBeyondShare counts a request beyond its customer's fair share.
func (n *Node) recordBeyondShare(service string, refused bool) {
	result := "sent"
	if refused {
		result = "refused"
	}
	n.monitor.set.GetOrCreateCounter(fmt.Sprintf("requests_beyond_share_total{service=%q,result=%q}", service, result)).Inc()
}

// recordLimitQuestion counts a question to an owner of a customer's limit.
func (n *Node) recordLimitQuestion(answer string) {
	n.monitor.set.GetOrCreateCounter(fmt.Sprintf("limit_questions_total{answer=%q}", answer)).Inc()
}

// recordLimitRefusal counts a refusal by a customer's limit.
func (n *Node) recordLimitRefusal(reason thview.AdmissionReason) {
	n.monitor.set.GetOrCreateCounter(fmt.Sprintf("limit_refusals_total{reason=%q}", reason)).Inc()
}

// registerGauges registers the metrics whose values are read each time they are
// served.
func (m *monitor) registerGauges() {
	gauge := func(name string, f func() float64) { m.set.NewGauge(name, f) }
	gauge("ready", func() float64 { return boolToFloat(m.node.IsReady()) })
	gauge("in_flight", func() float64 { return float64(m.node.ingress.InFlight()) })
	gauge("requests_waiting", func() float64 { return float64(m.node.forwarder.Waiting()) })
	gauge("caller_connections", func() float64 { return float64(m.node.ingress.Connections()) })
	use := func() thingress.MemoryUse { return m.node.ingress.MemoryUse() }
	gauge("caller_memory_limit_bytes", func() float64 { return float64(use().Limit) })
	gauge(`caller_memory_bytes{kind="connections"}`, func() float64 { return float64(use().Connections) })
	gauge(`caller_memory_bytes{kind="requests"}`, func() float64 { return float64(use().Requests) })
	gauge(`callers_displaced_total{kind="connections"}`, func() float64 { return float64(use().Counts.ConnectionsDisplaced) })
	gauge(`callers_displaced_total{kind="requests"}`, func() float64 { return float64(use().Counts.RequestsDisplaced) })
	gauge(`callers_refused_total{kind="connections"}`, func() float64 { return float64(use().Counts.ConnectionsRefused) })
	gauge(`callers_refused_total{kind="requests"}`, func() float64 { return float64(use().Counts.RequestsRefused) })
	gauge("table_version", func() float64 { return float64(m.node.source.Status().TableVersion) })
	gauge("targets_version", func() float64 { return float64(m.node.source.Status().Targets.Version) })
	gauge("store_era", func() float64 { return float64(m.node.source.Status().Targets.Era) })
	gauge("evacuations_version", func() float64 { return float64(m.node.source.Status().Orders.Version) })
	gauge("targets_known", func() float64 { return float64(m.node.source.Status().TargetCount) })
	gauge("store_answers", func() float64 { return boolToFloat(m.node.source.Status().IsStoreReachable) })
	gauge("store_read_age_seconds", func() float64 { return float64(m.node.source.Status().ReadAgeMillis) / 1000 })
	gauge("table_read_age_seconds", func() float64 { return float64(m.readAges().Table) / 1000 })
	gauge("targets_read_age_seconds", func() float64 { return float64(m.readAges().Targets) / 1000 })
	gauge("store_reader", func() float64 { return boolToFloat(m.node.source.Status().IsReader) })
	gauge("notices_sent_total", func() float64 { return float64(m.node.exchange.Stats().Sent) })
	gauge("notices_sent_bytes_total", func() float64 { return float64(m.node.exchange.Stats().SentBytes) })
	gauge("notices_relayed_bytes_total", func() float64 { return float64(m.node.exchange.Stats().RelayedBytes) })
	gauge("notices_received_bytes_total", func() float64 { return float64(m.node.exchange.Stats().ReceivedBytes) })
	gauge("peer_answers_bytes_total", func() float64 { return float64(m.node.peerServer.Stats().BytesSent) })
	gauge("notices_received_total", func() float64 { return float64(m.node.exchange.Stats().Received) })
	gauge("notices_malformed_total", func() float64 { return float64(m.node.exchange.Stats().Malformed) })
	gauge("vms_heard", func() float64 { live, _ := m.fleetSize(); return float64(live) })
	gauge("vms_known", func() float64 { _, members := m.fleetSize(); return float64(members) })
}

// readAges returns how long ago any VM is known to have read the store for the versions that
// this one holds.
func (m *monitor) readAges() (ages thfleet.ReadAges) {
	own, s := m.node.source.ReadAges(), m.node.source.Status()
	have := thfleet.StoreVersions{Table: s.TableVersion, Targets: s.Targets, Orders: s.Orders}
	m.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		ages = own.Reads(now).Max(v.Fleet.LastReads(have)).Ages(now)
	})
	return ages
}

// fleetSize returns how many VMs are live and how many the fleet has, both
// including this one.
func (m *monitor) fleetSize() (live, members int) {
	m.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { live, members = v.Fleet.Size(now) })
	return live, members
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// writeMetrics writes all metrics in Prometheus's text format.
func (m *monitor) writeMetrics(w io.Writer) {
	m.set.WritePrometheus(w)
	if m.node.options.StoreCalls != nil {
		for outcome, calls := range m.node.options.StoreCalls() {
			writeLine(w, "store_calls_total{outcome=%q} %d\n", outcome, calls)
		}
	}
	evacuated := m.node.source.Status().Evacuated
	zones := make(map[string]bool)
	for _, z := range evacuated {
		zones[z] = true
	}
	type group struct{ service, label string }
	counts, requests := make(map[group]int), make(map[group]int)
	var floors []thview.FloorStatus
	m.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		for _, s := range v.TargetStatuses(now) {
			counts[group{s.Service, s.State()}]++
			zones[s.Zone] = true
			requests[group{s.Service, "counted"}] += s.InFlight
			requests[group{s.Service, "expected"}] += s.Expected
		}
		floors = v.FloorStatuses(now)
	})
	for _, f := range floors {
		writeLine(w, "floor_enforced{service=%q} %g\n", f.Service, boolToFloat(f.IsEnforced))
	}
	for zone := range zones {
		writeLine(w, "zone_evacuated{zone=%q} %g\n", zone, boolToFloat(slices.Contains(evacuated, zone)))
	}
	for g, count := range counts {
		writeLine(w, "targets{service=%q,state=%q} %d\n", g.service, g.label, count)
	}
	for g, count := range requests {
		writeLine(w, "target_requests{service=%q,source=%q} %d\n", g.service, g.label, count)
	}
}

// writeLine writes one metric. Errors are ignored because w is a buffer in
// memory, whose writes do not fail.
func writeLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
