// Package thdiff says in what two configurations differ, for operators to
// read before they make a change.
package thdiff

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"tamarackhollow/core/thconfig"
)

// Sign is what happened to an item.
type Sign string

// The signs.
const (
	Added   Sign = "added"
	Removed Sign = "removed"
	Changed Sign = "changed"
)

// Line is one difference.
type Line struct {
	Sign Sign `json:"sign"`
	// Item is the kind of thing: template, deployment, service, route, customer or key.
	Item string `json:"item"`
	Name string `json:"name"`
	// Field is empty for items that were added or removed.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Between returns the differences in order of item and name.
func Between(before, after thconfig.Config) []Line {
	return slices.Concat(
		compare("template", before.Templates(), after.Templates(), func(t thconfig.Template) string { return t.Name }),
		compare("deployment", bare(before), bare(after), func(d thconfig.Deployment) string { return d.Name }),
		compare("service", before.Services(), after.Services(), func(s thconfig.Service) string { return s.Name }),
		compare("route", before.Routes(), after.Routes(), func(r thconfig.Route) string { return r.Prefix }),
		compare("customer", before.Customers(), after.Customers(), func(u thconfig.Customer) string { return u.Name }),
		compare("key", before.Keys(), after.Keys(), func(k thconfig.Key) string { return k.ID }),
	)
}

// bare returns the deployments without their expansions, which are compared on
// their own.
func bare(c thconfig.Config) []thconfig.Deployment {
	ds := c.Deployments()
	for i := range ds {
		ds[i].Services = nil
		ds[i].Routes = nil
	}
	return ds
}

func compare[T any](item string, before, after []T, name func(T) string) []Line {
	olds := make(map[string]T, len(before))
	for _, o := range before {
		olds[name(o)] = o
	}
	var lines []Line
	for _, n := range after {
		id := name(n)
		o, ok := olds[id]
		delete(olds, id)
		if !ok {
			lines = append(lines, Line{Sign: Added, Item: item, Name: id, After: brief(n)})
			continue
		}
		lines = append(lines, fields(item, id, o, n)...)
	}
	for _, id := range slices.Sorted(maps.Keys(olds)) {
		lines = append(lines, Line{Sign: Removed, Item: item, Name: id, Before: brief(olds[id])})
	}
	return lines
}

// fields compares two items of the same name field by field.
func fields(item, name string, before, after any) []Line {
	old, fresh := flatten(before), flatten(after)
	names := slices.Sorted(maps.Keys(old))
	for k := range fresh {
		if _, ok := old[k]; !ok {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	var lines []Line
	for _, k := range names {
		if old[k] != fresh[k] {
			lines = append(lines, Line{Sign: Changed, Item: item, Name: name, Field: k, Before: old[k], After: fresh[k]})
		}
	}
	return lines
}

const briefBytes = 160

// brief is an item in one line, without long lists.
func brief(v any) string {
	switch w := v.(type) {
	case thconfig.Template:
		return fmt.Sprintf("%d bytes", len(w.Source))
	case thconfig.Service:
		return fmt.Sprintf("%d targets, %d slots, floor %v", len(w.Targets), w.Slots, w.Floor)
	case thconfig.Deployment:
		return "template " + w.Template
	case thconfig.Customer:
		return fmt.Sprintf("rate %v, burst %d", w.Rate, w.Burst)
	case thconfig.Key:
		return "customer " + w.Customer
	}
	return shorten(text(v))
}

func shorten(s string) string {
	if len(s) <= briefBytes {
		return s
	}
	return s[:briefBytes] + "…"
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// flatten gives each value of an item's JSON form under a dotted name.
// Elements with an address or a name are called by it.
func flatten(v any) map[string]string {
	var tree any
	flat := map[string]string{}
	if json.Unmarshal([]byte(text(v)), &tree) == nil {
		flattenInto(flat, "", tree)
	}
	return flat
}

func flattenInto(flat map[string]string, place string, v any) {
	switch w := v.(type) {
	case map[string]any:
		for k, e := range w {
			flattenInto(flat, join(place, k), e)
		}
	case []any:
		for i, e := range w {
			flattenInto(flat, place+"["+elementName(i, e)+"]", e)
		}
	default:
		flat[place] = shorten(fmt.Sprint(v))
	}
}

func join(place, key string) string {
	if place == "" {
		return key
	}
	return place + "." + key
}

func elementName(i int, v any) string {
	if table, ok := v.(map[string]any); ok {
		for _, k := range []string{"address", "name"} {
			if name, ok := table[k].(string); ok {
				return name
			}
		}
	}
	return fmt.Sprint(i)
}
