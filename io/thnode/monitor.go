package thnode

import (
	"fmt"
	"io"
	"net"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// monitor answers the balancer and serves metrics as text.
type monitor struct {
	node *Node
	set  *metrics.Set
	// uncounted are requests that the burn report has no room for.
	uncounted *metrics.Counter
	readiness *fasthttp.Server
	metrics   *fasthttp.Server
}

func newMonitor(n *Node) *monitor {
	m := &monitor{node: n, set: metrics.NewSet()}
	m.uncounted = m.set.NewCounter("burn_uncounted_total")
	m.readiness = newServer(func(c *fasthttp.RequestCtx) {
		switch {
		case string(c.Path()) != n.options.ReadinessPath:
			c.SetStatusCode(fasthttp.StatusNotFound)
		case !n.IsReady():
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

const monitorIdleTimeout = time.Minute

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: h, IdleTimeout: monitorIdleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{}}
}

// discardLogger keeps the HTTP library's own lines out of the numbered log.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (m *monitor) start() {
	m.listen(m.node.options.Settings.Listen.Readiness, m.readiness)
	m.listen(m.node.options.Settings.Listen.Metrics, m.metrics)
}

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

func (m *monitor) recordRequest(e thingress.Ended) {
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

func (n *Node) recordAttempt(service string, end thpick.End, took time.Duration, connected bool) {
	m := n.monitor
	m.set.GetOrCreateCounter(fmt.Sprintf("attempts_total{service=%q,end=%q}", service, end)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("attempt_seconds{service=%q}", service)).Update(took.Seconds())
	if connected {
		m.set.GetOrCreateCounter(fmt.Sprintf("connections_made_total{service=%q}", service)).Inc()
	}
}

func (m *monitor) registerGauges() {
	gauge := func(name string, f func() float64) { m.set.NewGauge(name, f) }
	gauge("ready", func() float64 { return boolToFloat(m.node.IsReady()) })
	gauge("in_flight", func() float64 { return float64(m.node.ingress.InFlight()) })
	gauge("caller_connections", func() float64 { return float64(m.node.ingress.Connections()) })
	gauge("table_version", func() float64 { return float64(m.node.source.Status().TableVersion) })
	gauge("targets_version", func() float64 { return float64(m.node.source.Status().TargetsVersion) })
	gauge("targets_known", func() float64 { return float64(m.node.source.Status().TargetCount) })
	gauge("store_answers", func() float64 { return boolToFloat(m.node.source.Status().IsStoreReachable) })
	gauge("store_read_age_seconds", func() float64 { return float64(m.node.source.Status().ReadAgeMillis) / 1000 })
	gauge("store_reader", func() float64 { return boolToFloat(m.node.source.Status().IsReader) })
	gauge("notices_sent_total", func() float64 { return float64(m.node.exchange.Stats().Sent) })
	gauge("notices_sent_bytes_total", func() float64 { return float64(m.node.exchange.Stats().SentBytes) })
	gauge("notices_received_total", func() float64 { return float64(m.node.exchange.Stats().Received) })
	gauge("notices_malformed_total", func() float64 { return float64(m.node.exchange.Stats().Malformed) })
	gauge("vms_heard", func() float64 { heard, _ := m.fleetSize(); return float64(heard) })
	gauge("vms_known", func() float64 { _, known := m.fleetSize(); return float64(known) })
}

func (m *monitor) fleetSize() (heard, known int) {
	m.node.forwarder.With(func(now thclock.Instant, v *thview.View) { heard, known = v.Fleet.Size(now) })
	return heard, known
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *monitor) writeMetrics(w io.Writer) {
	m.set.WritePrometheus(w)
	if m.node.options.StoreCalls != nil {
		for outcome, calls := range m.node.options.StoreCalls() {
			writeLine(w, "store_calls_total{outcome=%q} %d\n", outcome, calls)
		}
	}
	type group struct{ service, state string }
	counts := make(map[group]int)
	m.node.forwarder.With(func(now thclock.Instant, v *thview.View) {
		for _, s := range v.Standings(now) {
			counts[group{s.Service, s.State()}]++
		}
	})
	for g, count := range counts {
		writeLine(w, "targets{service=%q,state=%q} %d\n", g.service, g.state, count)
	}
}

// writeLine writes to a buffer in memory, which does not fail.
func writeLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
