// Package thtemplate parses the TOML templates that operators write and expands
// them with a deployment's parameter values into services, routes and customers.
// Expansion is deterministic: it depends only on the template and the values.
package thtemplate

import (
	"maps"
	"slices"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Template is a parsed and validated template. It is immutable.
type Template struct {
	name       string
	parameters []Parameter
	body       body
}

// body is the part of a template that may contain parameter references. Its fields
// hold the undecoded values of the TOML document.
type body struct {
	Services  any
	Routes    any
	Customers any
}

// Name returns the template's name.
func (t Template) Name() string { return t.name }

// Parameters returns the declared parameters, ordered by name.
func (t Template) Parameters() []Parameter { return slices.Clone(t.parameters) }

// Expansion is the result of Template.Expand.
type Expansion struct {
	Deployment thconfig.Deployment
	Customers  []thconfig.Customer
}

func invalid(format string, args ...any) error {
	return therror.New(therror.ChangeInvalid, format, args...)
}

// Parse parses and validates a template in TOML. It fails with
// therror.ChangeInvalid; the error names the key or line and the reason.
func Parse(source string) (Template, error) {
	var document map[string]any
	if err := toml.Unmarshal([]byte(source), &document); err != nil {
		return Template{}, syntaxError("template", err)
	}
	var t Template
	name, ok := document["template"].(string)
	if !ok || name == "" {
		return Template{}, invalid("template: the key template is missing, empty or not a string; it must be the template's name")
	}
	t.name = name
	for _, k := range slices.Sorted(maps.Keys(document)) {
		if err := t.decodeKey(k, document[k]); err != nil {
			return Template{}, err
		}
	}
	if t.body.Services == nil {
		return Template{}, invalid("template %s: the key services is missing; a template must define at least one service as [[services]]", name)
	}
	return t, t.checkReferences()
}

func (t *Template) decodeKey(key string, v any) error {
	switch key {
	case "template":
		return nil
	case "parameters":
		ps, err := decodeParameters(t.name, v)
		t.parameters = ps
		return err
	case "services":
		t.body.Services = v
	case "routes":
		t.body.Routes = v
	case "customers":
		t.body.Customers = v
	default:
		return invalid("template %s: unknown key %s; known keys are template, parameters, services, routes and customers", t.name, key)
	}
	return nil
}

// checkReferences rejects references to undeclared parameters and declared
// parameters without a reference.
func (t Template) checkReferences() error {
	used := map[string]bool{}
	for _, part := range []struct {
		place string
		value any
	}{{"services", t.body.Services}, {"routes", t.body.Routes}, {"customers", t.body.Customers}} {
		err := walkReferences(part.place, part.value, func(place, name string) error {
			if _, ok := t.parameter(name); !ok {
				return invalid("template %s: %s refers to the parameter %s, which is not declared", t.name, place, name)
			}
			used[name] = true
			return nil
		})
		if err != nil {
			return err
		}
	}
	for _, p := range t.parameters {
		if !used[p.Name] {
			return invalid("template %s: the parameter %s is declared but nothing refers to it", t.name, p.Name)
		}
	}
	return nil
}

func (t Template) parameter(name string) (Parameter, bool) {
	i, ok := slices.BinarySearchFunc(t.parameters, name, func(p Parameter, name string) int {
		return compareNames(p.Name, name)
	})
	if !ok {
		return Parameter{}, false
	}
	return t.parameters[i], true
}

// syntaxError returns a ChangeInvalid error with the position of a TOML error.
func syntaxError(place string, err error) error {
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, column := d.Position()
		return invalid("%s: line %d, column %d: %v", place, row, column, err)
	}
	return invalid("%s: %v", place, err)
}
