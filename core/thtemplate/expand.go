package thtemplate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tamarackhollow/core/thconfig"
)

// Expand fills the template in. It fails with ChangeInvalid, naming the place
// and the reason, unless every parameter and the whole result check.
func (t Template) Expand(deployment string, parameters []thconfig.ParameterValue) (Expansion, error) {
	values, err := t.values(parameters)
	if err != nil {
		return Expansion{}, err
	}
	place := "template " + t.name + ": "
	services, err := fillList[serviceValue](place+"services", t.body.Services, values)
	if err != nil {
		return Expansion{}, err
	}
	routes, err := fillList[thconfig.Route](place+"routes", t.body.Routes, values)
	if err != nil {
		return Expansion{}, err
	}
	customers, err := fillList[customerValue](place+"customers", t.body.Customers, values)
	if err != nil {
		return Expansion{}, err
	}
	e := Expansion{Deployment: thconfig.Deployment{
		Name:       deployment,
		Template:   t.name,
		Parameters: sortedParameters(parameters),
		Routes:     routes,
	}}
	for i, s := range services {
		if s.Floor == nil {
			return Expansion{}, invalid("%sservices[%d] (%s): floor is missing: a share of the service's capacity from 0 to 1", place, i, s.Name)
		}
		e.Deployment.Services = append(e.Deployment.Services, s.service())
	}
	for _, u := range customers {
		e.Customers = append(e.Customers, thconfig.Customer{
			Name: u.Name, Rate: u.Rate, Burst: u.Burst, Routes: u.Routes, Keys: u.Keys, Priority: u.Priority,
		})
	}
	return e, e.check(place)
}

// check adds the template's place to what is wrong with the expansion.
func (e Expansion) check(place string) error {
	if err := thconfig.Check(e.Deployment, e.Customers); err != nil {
		return invalid("%s%v", place, err)
	}
	return nil
}

// serviceValue is a service as a template writes it; the floor must be given.
type serviceValue struct {
	thconfig.Service
	Floor *float64 `json:"floor"`
}

func (s serviceValue) service() thconfig.Service {
	n := s.Service
	n.Floor = *s.Floor
	return n
}

func sortedParameters(ps []thconfig.ParameterValue) []thconfig.ParameterValue {
	sorted := slices.Clone(ps)
	slices.SortFunc(sorted, func(a, b thconfig.ParameterValue) int { return compareNames(a.Name, b.Name) })
	return sorted
}

// values checks the given parameters and adds the defaults.
func (t Template) values(given []thconfig.ParameterValue) (map[string]any, error) {
	values := make(map[string]any, len(t.parameters))
	for _, g := range given {
		p, ok := t.parameter(g.Name)
		if !ok {
			return nil, invalid("template %s has no parameter %s; it has %s", t.name, g.Name, t.parameterNames())
		}
		if _, twice := values[g.Name]; twice {
			return nil, invalid("parameter %s is given twice", g.Name)
		}
		v, err := p.check(json.RawMessage(g.Value))
		if err != nil {
			return nil, invalid("parameter %s (%s): %v", g.Name, p.Type, err)
		}
		values[g.Name] = v
	}
	for _, p := range t.parameters {
		if _, ok := values[p.Name]; ok {
			continue
		}
		if p.Default == nil {
			return nil, invalid("parameter %s (%s) is missing: %s", p.Name, p.Type, p.Help)
		}
		v, err := p.check(p.Default)
		if err != nil {
			return nil, invalid("parameter %s: %v", p.Name, err)
		}
		values[p.Name] = v
	}
	return values, nil
}

func (t Template) parameterNames() string {
	names := make([]string, 0, len(t.parameters))
	for _, p := range t.parameters {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ")
}

// reference returns the name of the parameter that a text refers to.
func reference(text string) (string, bool) {
	inner, ok := strings.CutPrefix(text, "${")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(inner, "}")
}

func walkReferences(place string, v any, found func(place, name string) error) error {
	switch w := v.(type) {
	case string:
		if name, ok := reference(w); ok {
			return found(place, name)
		}
	case []any:
		for i, e := range w {
			if err := walkReferences(fmt.Sprintf("%s[%d]", place, i), e, found); err != nil {
				return err
			}
		}
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(w)) {
			if err := walkReferences(place+"."+k, w[k], found); err != nil {
				return err
			}
		}
	}
	return nil
}

// fill returns v with the references replaced by values.
func fill(v any, values map[string]any) any {
	switch w := v.(type) {
	case string:
		if name, ok := reference(w); ok {
			return values[name]
		}
	case []any:
		filled := make([]any, len(w))
		for i, e := range w {
			filled[i] = fill(e, values)
		}
		return filled
	case map[string]any:
		filled := make(map[string]any, len(w))
		for k, e := range w {
			filled[k] = fill(e, values)
		}
		return filled
	}
	return v
}

// fillList fills a list in and decodes it element by element, so that an error
// names the element.
func fillList[T any](place string, v any, values map[string]any) ([]T, error) {
	elements, err := decode[[]json.RawMessage](place, fill(v, values))
	if err != nil {
		return nil, err
	}
	list := make([]T, 0, len(elements))
	for i, e := range elements {
		t, err := decode[T](fmt.Sprintf("%s[%d]", place, i), e)
		if err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	return list, nil
}
