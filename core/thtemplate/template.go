// Package thtemplate reads the templates that operators write in TOML and
// expands them, with the parameters of one deployment, into services, routes
// and customers. The same template and parameters always give the same
// expansion.
package thtemplate

import (
	"maps"
	"slices"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Template is a template that has been read and checked. It is immutable.
type Template struct {
	name       string
	parameters []Parameter
	body       body
}

// body is the part of a template that parameters are filled into. Its values
// are as the TOML document has them.
type body struct {
	Services  any
	Routes    any
	Customers any
}

// Name returns the template's name.
func (t Template) Name() string { return t.name }

// Parameters returns the declared parameters ordered by name.
func (t Template) Parameters() []Parameter { return slices.Clone(t.parameters) }

// Expansion is a template filled in.
type Expansion struct {
	Deployment thconfig.Deployment
	Customers  []thconfig.Customer
}

func invalid(format string, args ...any) error {
	return therror.New(therror.ChangeInvalid, format, args...)
}

// Parse reads a template. It fails with ChangeInvalid, naming the place and
// the reason.
func Parse(source string) (Template, error) {
	var document map[string]any
	if err := toml.Unmarshal([]byte(source), &document); err != nil {
		return Template{}, syntaxError("template", err)
	}
	var t Template
	name, ok := document["template"].(string)
	if !ok || name == "" {
		return Template{}, invalid("template: the key template must give the template's name")
	}
	t.name = name
	for _, k := range slices.Sorted(maps.Keys(document)) {
		if err := t.readKey(k, document[k]); err != nil {
			return Template{}, err
		}
	}
	if t.body.Services == nil {
		return Template{}, invalid("template %s: at least one [[services]] is needed", name)
	}
	return t, t.checkReferences()
}

func (t *Template) readKey(key string, v any) error {
	switch key {
	case "template":
		return nil
	case "parameters":
		ps, err := readParameters(t.name, v)
		t.parameters = ps
		return err
	case "services":
		t.body.Services = v
	case "routes":
		t.body.Routes = v
	case "customers":
		t.body.Customers = v
	default:
		return invalid("template %s: unknown key %s; known are template, parameters, services, routes and customers", t.name, key)
	}
	return nil
}

// checkReferences refuses references to parameters that are not declared, and
// declared ones that nothing refers to.
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

func syntaxError(place string, err error) error {
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, column := d.Position()
		return invalid("%s: line %d, column %d: %v", place, row, column, err)
	}
	return invalid("%s: %v", place, err)
}
