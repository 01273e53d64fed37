// Package thmetrics serves a VM's counters and gauges in the form of package
// expvar, under names in camel case.
package thmetrics

import (
	"expvar"
	"net"
	"reflect"
	"runtime"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/valyala/fasthttp"
)

// Registry holds one VM's metrics. The zero Registry is empty. It is apart
// from expvar's own, so that one process can hold several VMs and the command
// line, which may carry credentials, is not served.
type Registry struct {
	root expvar.Map
}

// Counter returns a new counter of the name.
func (r *Registry) Counter(name string) *expvar.Int {
	c := new(expvar.Int)
	r.root.Set(name, c)
	return c
}

// Publish serves what the function returns under the name, a struct's fields
// under their names in camel case. The function is called at each reading.
func Publish[T any](r *Registry, name string, f func() T) {
	r.root.Set(name, expvar.Func(func() any { return camel(reflect.ValueOf(f())) }))
}

// camel returns the value with the names of struct fields in camel case.
func camel(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Struct:
		fields := make(map[string]any, v.NumField())
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				fields[camelName(f.Name)] = camel(v.Field(i))
			}
		}
		return fields
	case reflect.Slice:
		all := make([]any, v.Len())
		for i := range v.Len() {
			all[i] = camel(v.Index(i))
		}
		return all
	case reflect.Int64:
		if d, ok := v.Interface().(time.Duration); ok {
			return d.Milliseconds()
		}
	}
	return v.Interface()
}

// pluralEnds reports whether an abbreviation's plural s ends a word here.
func pluralEnds(rest string) bool {
	return rest[0] == 's' && (len(rest) == 1 || unicode.IsUpper(rune(rest[1])))
}

// camelName lowers the first letter, or all of a leading abbreviation.
func camelName(name string) string {
	upper := 0
	for _, r := range name {
		if !unicode.IsUpper(r) {
			break
		}
		upper++
	}
	switch {
	case upper == len(name):
		return strings.ToLower(name)
	case upper > 1 && pluralEnds(name[upper:]):
		return strings.ToLower(name[:upper]) + name[upper:]
	case upper > 1:
		return strings.ToLower(name[:upper-1]) + name[upper-1:]
	}
	first, size := utf8.DecodeRuneInString(name)
	return string(unicode.ToLower(first)) + name[size:]
}

// Process is what the process itself uses.
type Process struct {
	Goroutines    int
	HeapBytes     uint64
	SystemBytes   uint64
	Collections   uint32
	PauseMicros   uint64
	AllocatedMega uint64
}

const bytesPerMega = 1 << 20

// ReadProcess returns what the process uses at present.
func ReadProcess() Process {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Process{
		Goroutines:    runtime.NumGoroutine(),
		HeapBytes:     m.HeapAlloc,
		SystemBytes:   m.Sys,
		Collections:   m.NumGC,
		PauseMicros:   m.PauseTotalNs / uint64(time.Microsecond),
		AllocatedMega: m.TotalAlloc / bytesPerMega,
	}
}

// JSON returns all metrics as one JSON object.
func (r *Registry) JSON() string { return r.root.String() }

// Server serves a registry over HTTP at every path. Make one with NewServer.
type Server struct{ http fasthttp.Server }

const idleTimeout = time.Minute

// NewServer returns a server that does not listen yet.
func NewServer(r *Registry) *Server {
	return &Server{http: fasthttp.Server{
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		GetOnly:               true,
		CloseOnShutdown:       true,
		Handler: func(c *fasthttp.RequestCtx) {
			c.SetContentType("application/json")
			c.SetBodyString(r.JSON())
		},
	}}
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops serving.
func (s *Server) Shutdown() error { return s.http.Shutdown() }
