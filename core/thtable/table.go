// Package thtable holds the routing table of a VM (routes by host and path prefix,
// services, customers by key, and the limits on callers' requests) and the list of
// targets.
package thtable

import (
	"net"
	"strings"
)

// Table is an index over a Document. It is immutable. The zero Table has version
// 0 and no routes.
type Table struct {
	document Document
	digest   Digest
	// hosts holds the routes by lower-case host and by prefix.
	hosts map[string]map[string]*Route
	// customers holds the customers by key.
	customers map[string]*Customer
	services  map[string]Service
}

// New returns the table of a document, which must not be modified afterwards.
func New(d Document) Table { return newTable(d, digestDocument(d)) }

func newTable(d Document, digest Digest) Table {
	t := Table{
		document:  d,
		digest:    digest,
		hosts:     make(map[string]map[string]*Route),
		customers: make(map[string]*Customer),
		services:  make(map[string]Service, len(d.Services)),
	}
	for i := range d.Routes {
		t.addRoute(&d.Routes[i])
	}
	for i := range d.Customers {
		for _, key := range d.Customers[i].Keys {
			t.customers[key] = &d.Customers[i]
		}
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	return t
}

func (t Table) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	t.hosts[host][r.Prefix] = r
}

// Version returns the document's version; 0 means that no document was loaded.
func (t Table) Version() uint64 { return t.document.Version }

// Digest returns the digest of the table's content; 0 if no document was loaded.
func (t Table) Digest() Digest { return t.digest }

// Document returns the document that the table was built from.
func (t Table) Document() Document { return t.document }

// Evacuated returns the availability zones that are evacuated by the orders in the document, in
// their order. A VM may keep others; see KnownOrders.
func (t Table) Evacuated() []string { return t.document.Orders.Zones() }

// Limits returns the limits on callers' requests.
func (t Table) Limits() Limits { return t.document.Limits }

// RequiresKey reports whether requests need a key, except on open routes.
func (t Table) RequiresKey() bool { return t.document.RequiresKey }

// Route returns the host's route with the longest prefix that matches the path,
// and whether there is one. The host's port and case are ignored.
func (t Table) Route(host, path string) (Route, bool) {
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = t.hosts[canonicalHost(host)]
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return *r, true
		}
		end = slash
	}
	return Route{}, false
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Authenticate returns the customer that holds the key, and whether there is one.
func (t Table) Authenticate(key string) (Customer, bool) {
	if c := t.customers[key]; c != nil {
		return *c, true
	}
	return Customer{}, false
}

// Service returns the service of the name, and whether there is one.
func (t Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
