package thtemplate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"tamarackhollow/core/thconfig"
)

// ParameterType is what kind of value a parameter takes.
type ParameterType string

// The types of parameters.
const (
	// Rate is in requests a second, above 0.
	Rate ParameterType = "rate"
	// Burst is in requests, at least 1.
	Burst ParameterType = "burst"
	// Integer is a whole number.
	Integer ParameterType = "whole"
	// Share is a number from 0 to 1.
	Share ParameterType = "share"
	// Text is any text.
	Text ParameterType = "text"
	// Boolean is true or false.
	Boolean ParameterType = "flag"
	// Targets is a list of {address, zone}.
	Targets ParameterType = "targets"
	// Names is a list of names, of routes for example.
	Names ParameterType = "names"
	// Customers is a list of {name, rate, burst, routes}.
	Customers ParameterType = "customers"
)

var types = []ParameterType{Rate, Burst, Integer, Share, Text, Boolean, Targets, Names, Customers}

// Parameter is a declared parameter of a template.
type Parameter struct {
	Name string        `json:"-"`
	Type ParameterType `json:"type"`
	Help string        `json:"help"`
	// Min and Max bound a number, the rates of customers, and the length of a list
	// of targets or names; nil leaves them open.
	Min *float64 `json:"min"`
	Max *float64 `json:"max"`
	// MaxBurst bounds the bursts of customers; nil leaves them open.
	MaxBurst *float64 `json:"maxBurst"`
	// Default stands in for a value that is not given; nil makes the parameter required.
	Default json.RawMessage `json:"default"`
}

func compareNames(a, b string) int { return strings.Compare(a, b) }

func readParameters(template string, v any) ([]Parameter, error) {
	table, ok := v.(map[string]any)
	if !ok {
		return nil, invalid("template %s: parameters must be a table", template)
	}
	ps := make([]Parameter, 0, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		place := "template " + template + ": parameters." + name
		p, err := decode[Parameter](place, table[name])
		if err != nil {
			return nil, err
		}
		p.Name = name
		if !slices.Contains(types, p.Type) {
			return nil, invalid("%s: type %q is none of %v", place, p.Type, types)
		}
		if p.Default != nil {
			if _, err := p.check(p.Default); err != nil {
				return nil, invalid("%s: default: %v", place, err)
			}
		}
		ps = append(ps, p)
	}
	return ps, nil
}

// customerValue is one element of a parameter of the type Customers.
type customerValue struct {
	Name     string   `json:"name"`
	Rate     float64  `json:"rate"`
	Burst    int      `json:"burst"`
	Routes   []string `json:"routes,omitempty"`
	Keys     []string `json:"keys,omitempty"`
	Priority int      `json:"priority,omitempty"`
}

type targetValue struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// check returns the value that the JSON text stands for, or why it is not
// allowed.
func (p Parameter) check(text json.RawMessage) (any, error) {
	switch p.Type {
	case Rate, Share, Integer, Burst:
		return p.checkNumber(text)
	case Text:
		return strictJSON[string](text, "a text")
	case Boolean:
		return strictJSON[bool](text, "true or false")
	case Targets:
		return p.checkTargets(text)
	case Names:
		names, err := strictJSON[[]string](text, "a list of texts")
		if err != nil {
			return nil, err
		}
		return names, p.checkLength(len(names))
	case Customers:
		return p.checkCustomers(text)
	}
	return nil, fmt.Errorf("type %q is not known", p.Type)
}

func (p Parameter) checkNumber(text json.RawMessage) (any, error) {
	n, err := strictJSON[float64](text, "a number")
	if err != nil {
		return nil, err
	}
	whole := n == math.Trunc(n)
	switch {
	case p.Type == Rate && n <= 0:
		return nil, fmt.Errorf("%v must be a rate above 0 requests a second", n)
	case p.Type == Burst && (n < 1 || !whole):
		return nil, fmt.Errorf("%v must be a whole number of requests, at least 1", n)
	case p.Type == Integer && !whole:
		return nil, fmt.Errorf("%v must be a whole number", n)
	case p.Type == Share && (n < 0 || n > 1):
		return nil, fmt.Errorf("%v must be a share from 0 to 1", n)
	}
	return json.Number(string(bytes.TrimSpace(text))), within(n, p.Min, p.Max, "")
}

func (p Parameter) checkTargets(text json.RawMessage) (any, error) {
	ts, err := strictJSON[[]targetValue](text, "a list of {address, zone}")
	if err != nil {
		return nil, err
	}
	for i, t := range ts {
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			return nil, fmt.Errorf("[%d]: address %q must be IP:port", i, t.Address)
		}
		if t.Zone == "" {
			return nil, fmt.Errorf("[%d]: the target %s needs a zone", i, t.Address)
		}
	}
	return ts, p.checkLength(len(ts))
}

func (p Parameter) checkCustomers(text json.RawMessage) (any, error) {
	us, err := strictJSON[[]customerValue](text, "a list of {name, rate, burst, routes}")
	if err != nil {
		return nil, err
	}
	for i, u := range us {
		place := fmt.Sprintf("[%d] (%s)", i, u.Name)
		if err := within(u.Rate, p.Min, p.Max, place+": rate "); err != nil {
			return nil, err
		}
		if err := within(float64(u.Burst), nil, p.MaxBurst, place+": burst "); err != nil {
			return nil, err
		}
	}
	return us, nil
}

func (p Parameter) checkLength(n int) error { return within(float64(n), p.Min, p.Max, "length ") }

func within(n float64, low, high *float64, place string) error {
	if low != nil && n < *low {
		return fmt.Errorf("%s%v must be at least %v", place, n, *low)
	}
	if high != nil && n > *high {
		return fmt.Errorf("%s%v must be at most %v", place, n, *high)
	}
	return nil
}

func strictJSON[T any](text json.RawMessage, what string) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, fmt.Errorf("%s must be %s (%w)", shorten(text), what, err)
	}
	return v, nil
}

const shownBytes = 80

func shorten(text []byte) string {
	if len(text) <= shownBytes {
		return string(text)
	}
	return string(text[:shownBytes]) + "…"
}

// decode turns a value of a TOML document into a typed one and refuses keys
// that the type does not have.
func decode[T any](place string, v any) (T, error) {
	var zero T
	data, err := json.Marshal(v)
	if err != nil {
		return zero, invalid("%s: %v", place, err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var t T
	if err := d.Decode(&t); err != nil {
		return zero, invalid("%s: %s", place, strings.TrimPrefix(err.Error(), "json: "))
	}
	return t, nil
}

// NewParameterValue returns the parameter value for a value of a TOML or JSON document.
func NewParameterValue(name string, v any) (thconfig.ParameterValue, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return thconfig.ParameterValue{}, invalid("parameter %s: %v", name, err)
	}
	return thconfig.ParameterValue{Name: name, Value: string(data)}, nil
}

// ParseParameterValue returns the parameter for a value as it is typed on a command
// line: JSON, or else a text.
func ParseParameterValue(name, text string) (thconfig.ParameterValue, error) {
	if json.Valid([]byte(text)) {
		return thconfig.ParameterValue{Name: name, Value: text}, nil
	}
	return NewParameterValue(name, text)
}
