package thconfig

import (
	"encoding/json"
	"slices"
	"strings"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
)

// Config is one version of the whole configuration. It is immutable, and the
// zero Config is the empty configuration before the first change.
type Config struct {
	version     uint64
	changed     uint64
	digest      string
	roster      throster.Roster
	templates   shardedMap[Template]
	deployments shardedMap[Deployment]
	customers   shardedMap[Customer]
	created     shardedMap[uint64]
	keys        shardedMap[Key]
	withdrawn   shardedMap[struct{}]
	services    shardedMap[Service]
	routes      shardedMap[Route]
}

// Version counts the changes; it never goes down.
func (c Config) Version() uint64 { return c.version }

// Digest chains over all changes up to this version.
func (c Config) Digest() string { return c.digest }

// Customer returns a customer by name.
func (c Config) Customer(name string) (Customer, bool) { return c.customers.get(name) }

// Service returns a service by name.
func (c Config) Service(name string) (Service, bool) { return c.services.get(name) }

// Key returns a key by its public part.
func (c Config) Key(id string) (Key, bool) { return c.keys.get(id) }

// Template returns a template by name.
func (c Config) Template(name string) (Template, bool) { return c.templates.get(name) }

// Deployment returns a deployment by name.
func (c Config) Deployment(name string) (Deployment, bool) { return c.deployments.get(name) }

// CustomerSince returns the version that first had a customer of that name, or
// zero if there is none or one of that name was removed before.
func (c Config) CustomerSince(name string) uint64 {
	v, _ := c.created.get(name)
	return v
}

// Customers returns all customers ordered by name.
func (c Config) Customers() []Customer { return c.customers.sorted() }

// Services returns all services ordered by name.
func (c Config) Services() []Service { return c.services.sorted() }

// Routes returns all routes ordered by prefix.
func (c Config) Routes() []Route { return c.routes.sorted() }

// Keys returns all keys ordered by their public parts.
func (c Config) Keys() []Key { return c.keys.sorted() }

// Templates returns all templates ordered by name.
func (c Config) Templates() []Template { return c.templates.sorted() }

// Deployments returns all deployments ordered by name.
func (c Config) Deployments() []Deployment { return c.deployments.sorted() }

// Route returns the route with the longest prefix that matches the path at a
// segment boundary.
func (c Config) Route(path string) (Route, bool) {
	path = strings.TrimRight(path, "/")
	for path != "" {
		if r, ok := c.routes.get(path); ok {
			return r, true
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
	return c.routes.get("/")
}

// Allows reports whether the customer may use the route.
func (c Config) Allows(u Customer, r Route) bool {
	if len(u.Routes) > 0 {
		return slices.Contains(u.Routes, r.Name)
	}
	d, ok := c.deployments.get(u.Deployment)
	return ok && slices.ContainsFunc(d.Routes, func(o Route) bool { return o.Name == r.Name })
}

// WithRecord returns the configuration after the record. It fails with
// MessageStale unless the record is the very next one and its digest chains
// on, and with ChangeInvalid if the change does not check.
func (c Config) WithRecord(r Record) (Config, error) {
	if r.Version != c.version+1 {
		return c, therror.New(therror.MessageStale, "record %d does not follow version %d", r.Version, c.version)
	}
	digest, err := chainDigest(c.digest, r)
	if err != nil {
		return c, err
	}
	if digest != r.Digest {
		return c, therror.New(therror.MessageStale, "record %d does not chain on to version %d", r.Version, c.version)
	}
	n, err := c.withChange(r.Change)
	if err != nil {
		return c, err
	}
	n.version = r.Version
	n.digest = digest
	if _, members := r.Change.(ChangeMembers); !members {
		n.changed = r.Version
	}
	return n, nil
}

// CheckPrecondition fails with ChangeConflict if an operator's change has come
// after the version that an operator decided on; 0 asks for nothing. Members'
// comings and goings count versions too, but decide nothing of an operator's.
func (c Config) CheckPrecondition(version uint64) error {
	switch {
	case version == 0:
	case c.Changed() > version:
		return therror.New(therror.ChangeConflict, "version %d has been applied since version %d", c.Changed(), version)
	case version > c.Version():
		return therror.New(therror.ChangeConflict, "the configuration stands at version %d, not yet at %d", c.Version(), version)
	}
	return nil
}

// Check reports with ChangeInvalid why the change cannot be made, or nil.
func (c Config) Check(change Change) error {
	_, err := c.withChange(change)
	return err
}

func (c Config) withChange(change Change) (Config, error) {
	switch h := change.(type) {
	case PutTemplate:
		return c.withTemplate(h)
	case PutDeployment:
		return c.withDeployment(h)
	case SetCustomer:
		return c.withCustomer(h.Customer)
	case RemoveCustomer:
		return c.withoutCustomer(h.Name)
	case IssueKey:
		return c.withKey(h.Key)
	case WithdrawKey:
		return c.withoutKey(h.ID)
	case SetTarget:
		return c.withTarget(h)
	case ChangeMembers:
		return c.withMembers(h)
	}
	return c, therror.New(therror.ChangeInvalid, "unknown kind of change %T", change)
}

func (c Config) withTemplate(p PutTemplate) (Config, error) {
	if p.Template.Name == "" {
		return c, therror.New(therror.ChangeInvalid, "template: a name is needed")
	}
	c.templates = c.templates.with(p.Template.Name, p.Template)
	for _, d := range p.Deployments {
		n, err := c.withExpansion(d)
		if err != nil {
			return c, err
		}
		c = n
	}
	return c, nil
}

func (c Config) withDeployment(p PutDeployment) (Config, error) {
	n, err := c.withExpansion(p.Deployment)
	if err != nil {
		return c, err
	}
	for _, u := range p.Customers {
		u.Deployment = p.Deployment.Name
		if n, err = n.withCustomer(u); err != nil {
			return c, err
		}
	}
	return n, nil
}

// withExpansion replaces a deployment's services and routes. Another
// deployment's are never taken over.
func (c Config) withExpansion(d Deployment) (Config, error) {
	if d.Name == "" {
		return c, therror.New(therror.ChangeInvalid, "deployment: a name is needed")
	}
	old, _ := c.deployments.get(d.Name)
	for _, s := range old.Services {
		c.services = c.services.without(s.Name)
	}
	for _, r := range old.Routes {
		c.routes = c.routes.without(r.Prefix)
	}
	for _, s := range d.Services {
		if err := checkService(s); err != nil {
			return c, err
		}
		if _, taken := c.services.get(s.Name); taken {
			return c, therror.New(therror.ChangeInvalid, "deployment %s: service %s stands already", d.Name, s.Name)
		}
		c.services = c.services.with(s.Name, s)
	}
	for _, r := range d.Routes {
		if err := c.checkRoute(d, r); err != nil {
			return c, err
		}
		c.routes = c.routes.with(r.Prefix, r)
	}
	c.deployments = c.deployments.with(d.Name, d)
	return c, nil
}

func (c Config) withCustomer(u Customer) (Config, error) {
	if err := c.checkCustomer(u); err != nil {
		return c, err
	}
	if _, before := c.created.get(u.Name); !before {
		c.created = c.created.with(u.Name, c.version+1)
	}
	c.customers = c.customers.with(u.Name, u)
	return c, nil
}

func (c Config) withoutCustomer(name string) (Config, error) {
	if _, ok := c.customers.get(name); !ok {
		return c, therror.New(therror.ChangeInvalid, "customer %s: no such customer", name)
	}
	all := c.keys
	all.each(func(id string, k Key) {
		if k.Customer == name {
			c.keys = c.keys.without(id)
			c.withdrawn = c.withdrawn.with(id, struct{}{})
		}
	})
	c.customers = c.customers.without(name)
	c.created = c.created.with(name, 0)
	return c, nil
}

func (c Config) withKey(k Key) (Config, error) {
	if err := c.checkKey(k); err != nil {
		return c, err
	}
	c.keys = c.keys.with(k.ID, k)
	return c, nil
}

func (c Config) withoutKey(id string) (Config, error) {
	if _, ok := c.keys.get(id); !ok {
		return c, therror.New(therror.ChangeInvalid, "key %s: no such key in force", id)
	}
	c.keys = c.keys.without(id)
	c.withdrawn = c.withdrawn.with(id, struct{}{})
	return c, nil
}

func (c Config) withTarget(s SetTarget) (Config, error) {
	old, ok := c.services.get(s.Service)
	if !ok {
		return c, therror.New(therror.ChangeInvalid, "service %s: no such service", s.Service)
	}
	n := old.WithTarget(s.Target)
	if err := checkService(n); err != nil {
		return c, err
	}
	c.services = c.services.with(n.Name, n)
	for _, d := range c.deployments.sorted() {
		i := slices.IndexFunc(d.Services, func(o Service) bool { return o.Name == n.Name })
		if i >= 0 {
			d.Services = slices.Clone(d.Services)
			d.Services[i] = n
			c.deployments = c.deployments.with(d.Name, d)
		}
	}
	return c, nil
}

// snapshot is a Config in JSON.
type snapshot struct {
	Version     uint64          `json:"version"`
	Changed     uint64          `json:"changed"`
	Digest      string          `json:"digest"`
	Roster      throster.Roster `json:"roster"`
	Templates   []Template      `json:"templates"`
	Deployments []Deployment    `json:"deployments"`
	Customers   []Customer      `json:"customers"`
	Created     []creation      `json:"created"`
	Keys        []Key           `json:"keys"`
	Withdrawn   []string        `json:"withdrawn"`
}

// creation says which version first had a customer of that name; zero if one
// was removed.
type creation struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (c Config) creations() []creation {
	names := c.created.sortedNames()
	cs := make([]creation, len(names))
	for i, name := range names {
		cs[i] = creation{name, c.CustomerSince(name)}
	}
	return cs
}

// MarshalJSON writes the whole configuration.
func (c Config) MarshalJSON() ([]byte, error) {
	return json.Marshal(snapshot{
		Version: c.version, Changed: c.changed, Digest: c.digest, Roster: c.roster,
		Templates: c.templates.sorted(), Deployments: c.deployments.sorted(),
		Customers: c.customers.sorted(), Created: c.creations(), Keys: c.keys.sorted(), Withdrawn: c.withdrawn.sortedNames(),
	})
}

// UnmarshalJSON reads a whole configuration, checking every part of it.
func (c *Config) UnmarshalJSON(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return therror.Wrap(therror.MessageMalformed, err, "configuration snapshot")
	}
	n, err := fromSnapshot(s)
	if err != nil {
		return err
	}
	*c = n
	return nil
}

func fromSnapshot(s snapshot) (Config, error) {
	c := Config{version: s.Version, changed: s.Changed, digest: s.Digest, roster: s.Roster}
	var err error
	for _, t := range s.Templates {
		c.templates = c.templates.with(t.Name, t)
	}
	for _, d := range s.Deployments {
		if c, err = c.withExpansion(d); err != nil {
			return Config{}, err
		}
	}
	b := c.customers.builder()
	for _, u := range s.Customers {
		if err = c.checkCustomer(u); err != nil {
			return Config{}, err
		}
		b.put(u.Name, u)
	}
	c.customers = b.done()
	cb := c.created.builder()
	for _, o := range s.Created {
		cb.put(o.Name, o.Version)
	}
	c.created = cb.done()
	kb := c.keys.builder()
	for _, k := range s.Keys {
		if err = c.checkKey(k); err != nil {
			return Config{}, err
		}
		kb.put(k.ID, k)
	}
	c.keys = kb.done()
	wb := c.withdrawn.builder()
	for _, id := range s.Withdrawn {
		wb.put(id, struct{}{})
	}
	c.withdrawn = wb.done()
	return c, nil
}
