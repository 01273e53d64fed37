package thtemplate

import (
	"maps"
	"slices"

	"tamarackhollow/core/thconfig"

	"github.com/pelletier/go-toml/v2"
)

// Request is a deployment as an operator writes it: a template's name and
// values for its parameters.
type Request struct {
	Deployment string               `json:"deployment"`
	Template   string               `json:"template"`
	Parameters []thconfig.Parameter `json:"parameters,omitempty"`
}

// ParseRequest reads a deployment file. It fails with ChangeInvalid, naming
// the place and the reason.
func ParseRequest(source string) (Request, error) {
	var document struct {
		Deployment string         `toml:"deployment"`
		Template   string         `toml:"template"`
		Parameters map[string]any `toml:"parameters"`
	}
	var all map[string]any
	if err := toml.Unmarshal([]byte(source), &all); err != nil {
		return Request{}, syntaxError("deployment", err)
	}
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if k != "deployment" && k != "template" && k != "parameters" {
			return Request{}, invalid("deployment: unknown key %s; known are deployment, template and parameters", k)
		}
	}
	if err := toml.Unmarshal([]byte(source), &document); err != nil {
		return Request{}, syntaxError("deployment", err)
	}
	if document.Deployment == "" || document.Template == "" {
		return Request{}, invalid("deployment: the keys deployment and template must give names")
	}
	q := Request{Deployment: document.Deployment, Template: document.Template}
	for _, name := range slices.Sorted(maps.Keys(document.Parameters)) {
		p, err := Value(name, document.Parameters[name])
		if err != nil {
			return Request{}, err
		}
		q.Parameters = append(q.Parameters, p)
	}
	return q, nil
}

// WithParameter returns the request with one parameter set.
func (q Request) WithParameter(p thconfig.Parameter) Request {
	n := slices.DeleteFunc(slices.Clone(q.Parameters), func(o thconfig.Parameter) bool { return o.Name == p.Name })
	q.Parameters = append(n, p)
	return q
}

// Change returns the change that puts the deployment, expanded with the
// template that c holds.
func (q Request) Change(c thconfig.Config) (thconfig.PutDeployment, error) {
	stored, ok := c.Template(q.Template)
	if !ok {
		return thconfig.PutDeployment{}, invalid("deployment %s: no template %s; apply the template first", q.Deployment, q.Template)
	}
	t, err := Parse(stored.Source)
	if err != nil {
		return thconfig.PutDeployment{}, err
	}
	e, err := t.Expand(q.Deployment, q.Parameters)
	if err != nil {
		return thconfig.PutDeployment{}, err
	}
	return thconfig.PutDeployment{Deployment: e.Deployment, Customers: e.Customers}, nil
}

// TemplateChange returns the change that puts a template together with the new
// expansions of all deployments made from it. Targets that were marked as
// leaving stay so.
func TemplateChange(c thconfig.Config, source string) (thconfig.PutTemplate, error) {
	t, err := Parse(source)
	if err != nil {
		return thconfig.PutTemplate{}, err
	}
	p := thconfig.PutTemplate{Template: t.Stored()}
	for _, d := range c.Deployments() {
		if d.Template != t.name {
			continue
		}
		e, err := t.Expand(d.Name, d.Parameters)
		if err != nil {
			return thconfig.PutTemplate{}, invalid("deployment %s: %v", d.Name, err)
		}
		p.Deployments = append(p.Deployments, keepLeaving(d, e.Deployment))
	}
	return p, nil
}

// keepLeaving carries over which targets operators have drained.
func keepLeaving(old, fresh thconfig.Deployment) thconfig.Deployment {
	leaving := map[string]bool{}
	for _, s := range old.Services {
		for _, t := range s.Targets {
			leaving[s.Name+" "+t.Address] = t.Leaving
		}
	}
	for i, s := range fresh.Services {
		for j, t := range s.Targets {
			if leaving[s.Name+" "+t.Address] {
				fresh.Services[i].Targets[j].Leaving = true
			}
		}
	}
	return fresh
}
