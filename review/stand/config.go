//go:build review

package stand

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutS, ObjectiveS        float64
	MaxAttempts                 int
}

// Tenant is a customer of the configuration.
type Tenant struct {
	Name, Key   string
	Rate, Burst float64
}

// Host is the host of all routes.
const Host = "jepu9.example"

// MaxBodyBytes is the limit of the configuration on callers' bodies.
const MaxBodyBytes = 64 << 20

// PutConfig writes a version of the configuration.
func PutConfig(s *Store, version int, routes []Route, tenants []Tenant) {
	var routeRows, serviceRows, tenantRows [][]any
	services := map[string]bool{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.Name, Host, r.Prefix, r.Kind, r.TimeoutS, r.ObjectiveS, 1, nil, r.MaxAttempts, false, r.Service})
		if !services[r.Service] {
			services[r.Service] = true
			serviceRows = append(serviceRows, []any{r.Service, healthPath, 360, "h1", false})
		}
	}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.Name, []string{t.Key}, 1, t.Rate, t.Burst})
	}
	table := func(rows [][]any, columns ...string) map[string]any {
		return map[string]any{"columns": columns, "rows": rows}
	}
	s.Put("op", "config", map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   table(routeRows, "name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "backends", "maxAttempts", "authExempt", "service"),
		"services": table(serviceRows, "name", "healthPath", "maxConns", "protocol", "tls"),
		"tenants":  table(tenantRows, "name", "apiKeys", "priority", "ratePerS", "burst"),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": MaxBodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}

// RequestHead returns the header of a caller's request.
func RequestHead(method, path, id, key string, deadline time.Duration, bodyBytes int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", method, path, Host, headerID, id, headerDeadline, deadline.Milliseconds(), key)
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyBytes)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer is what a caller got.
type Answer struct {
	ID     string
	Status int
	Body   []byte
	// Stamped is set if the answer is a target's.
	Stamped bool
	// Closes is set if the connection ends with the answer.
	Closes     bool
	RetryAfter time.Duration
	At         time.Time
}

// ReadAnswer reads one whole answer.
func ReadAnswer(br *bufio.Reader) (Answer, error) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("the answer %d ends after %d of %s bytes of its body: %w", r.StatusCode, len(body), r.Header.Get("Content-Length"), err)
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64) // left out: 0
	return Answer{
		ID: r.Header.Get(headerID), Status: r.StatusCode, Body: body, Stamped: r.Header.Get(headerStamp) != "", Closes: r.Close,
		RetryAfter: time.Duration(seconds * float64(time.Second)), At: time.Now(),
	}, nil
}

// Connect opens a caller's connection, which has to be there within a second.
func Connect(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
