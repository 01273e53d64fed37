package thtemplate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tamarackhollow/core/thconfig"
)

// Expand substitutes the parameters into the template. It fails with
// therror.ChangeInvalid if a parameter or the expansion is invalid; the error
// names the invalid part and the reason.
func (t Template) Expand(deployment string, parameters []thconfig.ParameterValue) (Expansion, error) {
	values, err := t.resolveValues(parameters)
	if err != nil {
		return Expansion{}, err
	}
	place := "template " + t.name + ": "
	services, err := substituteAndDecode[templateService](place+"services", t.body.Services, values)
	if err != nil {
		return Expansion{}, err
	}
	routes, err := substituteAndDecode[thconfig.Route](place+"routes", t.body.Routes, values)
	if err != nil {
		return Expansion{}, err
	}
	customers, err := substituteAndDecode[customerValue](place+"customers", t.body.Customers, values)
	if err != nil {
		return Expansion{}, err
	}
	e := Expansion{Deployment: thconfig.Deployment{
		Name:       deployment,
		Template:   t.name,
		Parameters: sortParameters(parameters),
		Routes:     routes,
	}}
	for i, s := range services {
		if s.Floor == nil {
			return Expansion{}, invalid("%sservices[%d] (%s): floor is missing: it must be a share of the service's capacity from 0 to 1", place, i, s.Name)
		}
		e.Deployment.Services = append(e.Deployment.Services, s.toService())
	}
	for _, c := range customers {
		e.Customers = append(e.Customers, thconfig.Customer{
			Name: c.Name, Rate: c.Rate, Burst: c.Burst, Routes: c.Routes, Keys: c.Keys, Priority: c.Priority,
		})
	}
	return e, e.check(place)
}

// check validates the expansion. Errors begin with place.
func (e Expansion) check(place string) error {
	if err := thconfig.Check(e.Deployment, e.Customers); err != nil {
		return invalid("%s%v", place, err)
	}
	return nil
}

// templateService is a service in a template. Its Floor hides that of
// thconfig.Service, to tell a missing floor from a floor of 0.
type templateService struct {
	thconfig.Service
	Floor *float64 `json:"floor"`
}

// toService returns the service with its floor. The floor must not be nil.
func (s templateService) toService() thconfig.Service {
	service := s.Service
	service.Floor = *s.Floor
	return service
}

func sortParameters(ps []thconfig.ParameterValue) []thconfig.ParameterValue {
	sorted := slices.Clone(ps)
	slices.SortFunc(sorted, func(a, b thconfig.ParameterValue) int { return compareNames(a.Name, b.Name) })
	return sorted
}

// resolveValues validates the given values, adds the defaults and returns the
// value of every declared parameter by name.
func (t Template) resolveValues(given []thconfig.ParameterValue) (map[string]any, error) {
	values := make(map[string]any, len(t.parameters))
	for _, g := range given {
		p, ok := t.parameter(g.Name)
		if !ok {
			return nil, invalid("template %s has no parameter %s; it has %s", t.name, g.Name, t.parameterNames())
		}
		if _, twice := values[g.Name]; twice {
			return nil, invalid("parameter %s is given twice", g.Name)
		}
		v, err := p.parse(json.RawMessage(g.Value))
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
		v, err := p.parse(p.Default)
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

// parseReference returns the name of the parameter if text is a reference such as
// "${floor}".
func parseReference(text string) (string, bool) {
	inner, ok := strings.CutPrefix(text, "${")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(inner, "}")
}

// walkReferences calls visit for each parameter reference in v, in a fixed order.
// Place is the path of v in the template.
func walkReferences(place string, v any, visit func(place, name string) error) error {
	switch w := v.(type) {
	case string:
		if name, ok := parseReference(w); ok {
			return visit(place, name)
		}
	case []any:
		for i, e := range w {
			if err := walkReferences(fmt.Sprintf("%s[%d]", place, i), e, visit); err != nil {
				return err
			}
		}
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(w)) {
			if err := walkReferences(place+"."+k, w[k], visit); err != nil {
				return err
			}
		}
	}
	return nil
}

// substitute returns a copy of v in which values replace the references.
func substitute(v any, values map[string]any) any {
	switch w := v.(type) {
	case string:
		if name, ok := parseReference(w); ok {
			return values[name]
		}
	case []any:
		substituted := make([]any, len(w))
		for i, e := range w {
			substituted[i] = substitute(e, values)
		}
		return substituted
	case map[string]any:
		substituted := make(map[string]any, len(w))
		for k, e := range w {
			substituted[k] = substitute(e, values)
		}
		return substituted
	}
	return v
}

// substituteAndDecode substitutes values into the list v and decodes it. Elements
// are decoded one by one so that an error names the element.
func substituteAndDecode[T any](place string, v any, values map[string]any) ([]T, error) {
	elements, err := decode[[]json.RawMessage](place, substitute(v, values))
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
