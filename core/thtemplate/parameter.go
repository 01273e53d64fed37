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

// ParameterType is the type of the values that a parameter accepts.
type ParameterType string

// The parameter types.
const (
	// Rate is a number of requests a second, above 0.
	Rate ParameterType = "rate"
	// Burst is a whole number of requests, at least 1.
	Burst ParameterType = "burst"
	// Integer is a whole number, which may be negative.
	Integer ParameterType = "whole"
	// Share is a number from 0 to 1.
	Share ParameterType = "share"
	// Text is a string.
	Text ParameterType = "text"
	// Boolean is true or false.
	Boolean ParameterType = "flag"
	// Targets is a list of {address, zone}.
	Targets ParameterType = "targets"
	// Names is a list of names, such as names of routes.
	Names ParameterType = "names"
	// Customers is a list of {name, rate, burst, routes, keys, priority}; the
	// last three are optional.
	Customers ParameterType = "customers"
)

var parameterTypes = []ParameterType{Rate, Burst, Integer, Share, Text, Boolean, Targets, Names, Customers}

// Parameter is a parameter that a template declares.
type Parameter struct {
	Name string        `json:"-"`
	Type ParameterType `json:"type"`
	Help string        `json:"help"`
	// Min and Max limit a number, the length of a list of targets or names, or
	// the rate of each customer. Nil sets no limit.
	Min *float64 `json:"min"`
	Max *float64 `json:"max"`
	// MaxBurst limits the burst of each customer. Nil sets no limit.
	MaxBurst *float64 `json:"maxBurst"`
	// Default is the value used if none is given. If it is nil, the parameter is
	// required.
	Default json.RawMessage `json:"default"`
}

func compareNames(a, b string) int { return strings.Compare(a, b) }

// decodeParameters decodes the parameters table of a template and validates the
// defaults. The result is ordered by name.
func decodeParameters(template string, v any) ([]Parameter, error) {
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
		if !slices.Contains(parameterTypes, p.Type) {
			return nil, invalid("%s: unknown type %q; known types are %v", place, p.Type, parameterTypes)
		}
		if p.Default != nil {
			if _, err := p.parse(p.Default); err != nil {
				return nil, invalid("%s: default: %v", place, err)
			}
		}
		ps = append(ps, p)
	}
	return ps, nil
}

// customerValue is an element of a parameter of type Customers.
type customerValue struct {
	Name     string   `json:"name"`
	Rate     float64  `json:"rate"`
	Burst    int      `json:"burst"`
	Routes   []string `json:"routes,omitempty"`
	Keys     []string `json:"keys,omitempty"`
	Priority int      `json:"priority,omitempty"`
}

// targetValue is an element of a parameter of type Targets.
type targetValue struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// parse decodes a JSON value of the parameter's type. The error says why a value
// is not allowed.
func (p Parameter) parse(raw json.RawMessage) (any, error) {
	switch p.Type {
	case Rate, Share, Integer, Burst:
		return p.parseNumber(raw)
	case Text:
		return parseStrictJSON[string](raw, "a string")
	case Boolean:
		return parseStrictJSON[bool](raw, "true or false")
	case Targets:
		return p.parseTargets(raw)
	case Names:
		names, err := parseStrictJSON[[]string](raw, "a list of strings")
		if err != nil {
			return nil, err
		}
		return names, p.checkLength(len(names))
	case Customers:
		return p.parseCustomers(raw)
	}
	return nil, fmt.Errorf("unknown type %q", p.Type)
}

func (p Parameter) parseNumber(raw json.RawMessage) (any, error) {
	n, err := parseStrictJSON[float64](raw, "a number")
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
	return json.Number(string(bytes.TrimSpace(raw))), checkRange(n, p.Min, p.Max, "")
}

func (p Parameter) parseTargets(raw json.RawMessage) (any, error) {
	ts, err := parseStrictJSON[[]targetValue](raw, "a list of {address, zone}")
	if err != nil {
		return nil, err
	}
	for i, t := range ts {
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			return nil, fmt.Errorf("[%d]: address %q must be IP:port", i, t.Address)
		}
		if t.Zone == "" {
			return nil, fmt.Errorf("[%d]: target %s has no zone", i, t.Address)
		}
	}
	return ts, p.checkLength(len(ts))
}

func (p Parameter) parseCustomers(raw json.RawMessage) (any, error) {
	cs, err := parseStrictJSON[[]customerValue](raw, "a list of {name, rate, burst, routes, keys, priority}")
	if err != nil {
		return nil, err
	}
	for i, c := range cs {
		place := fmt.Sprintf("[%d] (%s)", i, c.Name)
		if err := checkRange(c.Rate, p.Min, p.Max, place+": rate "); err != nil {
			return nil, err
		}
		if err := checkRange(float64(c.Burst), nil, p.MaxBurst, place+": burst "); err != nil {
			return nil, err
		}
	}
	return cs, nil
}

func (p Parameter) checkLength(n int) error { return checkRange(float64(n), p.Min, p.Max, "length ") }

// checkRange returns an error, which begins with label, unless n is from low to
// high. A nil limit is not checked.
func checkRange(n float64, low, high *float64, label string) error {
	if low != nil && n < *low {
		return fmt.Errorf("%s%v must be at least %v", label, n, *low)
	}
	if high != nil && n > *high {
		return fmt.Errorf("%s%v must be at most %v", label, n, *high)
	}
	return nil
}

// parseStrictJSON decodes a JSON value and rejects unknown fields. The error says
// that the value must be what expected describes.
func parseStrictJSON[T any](raw json.RawMessage, expected string) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, fmt.Errorf("%s must be %s (%w)", truncate(raw), expected, err)
	}
	return v, nil
}

// maxQuotedBytes limits how much of an invalid value an error text quotes.
const maxQuotedBytes = 80

func truncate(text []byte) string {
	if len(text) <= maxQuotedBytes {
		return string(text)
	}
	return string(text[:maxQuotedBytes]) + "…"
}

// decode converts a value of a TOML document to a T and rejects keys that T does
// not have.
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

// NewParameterValue encodes v, a value from a TOML or JSON document, as the value
// of the named parameter.
func NewParameterValue(name string, v any) (thconfig.ParameterValue, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return thconfig.ParameterValue{}, invalid("parameter %s: %v", name, err)
	}
	return thconfig.ParameterValue{Name: name, Value: string(data)}, nil
}

// ParseParameterValue returns the value of the named parameter for text from a
// command line. Text that is not valid JSON is taken as a string.
func ParseParameterValue(name, text string) (thconfig.ParameterValue, error) {
	if json.Valid([]byte(text)) {
		return thconfig.ParameterValue{Name: name, Value: text}, nil
	}
	return NewParameterValue(name, text)
}
