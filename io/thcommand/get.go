package thcommand

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Get shows a part of the configuration in force.
func Get(s Streams) *ffcli.Command {
	r := &remote{streams: s}
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "tamarackhollow get [flags] templates|deployments|services|routes|customers|keys [NAME]",
		ShortHelp:  "show a part of the configuration in force",
		FlagSet:    r.flagSet("get"),
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 1, 2, fmt.Sprintf("get %v [NAME]", thoperator.Items())); err != nil {
				return err
			}
			name := ""
			if len(args) == 2 {
				name = args[1]
			}
			return r.get(ctx, thoperator.Item(args[0]), name)
		},
	}
}

func (r *remote) get(ctx context.Context, item thoperator.Item, name string) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	a, err := c.Get(ctx, item, name)
	if err != nil {
		return err
	}
	if r.json {
		return printJSON(r.streams.Out, a)
	}
	headings, rows := tableOf(item, a)
	_, _ = fmt.Fprintf(r.streams.Out, "version %d\n", a.Version)
	return table(r.streams.Out, headings, rows)
}

func tableOf(item thoperator.Item, a thoperator.GetAnswer) ([]string, [][]string) {
	switch item {
	case thoperator.Templates:
		return []string{"template", "bytes"}, rowsOf(a.Templates, func(t thconfig.Template) []string {
			return []string{t.Name, strconv.Itoa(len(t.Source))}
		})
	case thoperator.Deployments:
		return []string{"deployment", "template", "services", "routes", "parameters"}, rowsOf(a.Deployments, deploymentRow)
	case thoperator.Services:
		return []string{"service", "targets", "leaving", "slots", "connections", "floor", "objective"}, rowsOf(a.Services, serviceRow)
	case thoperator.Routes:
		return []string{"prefix", "route", "service", "open"}, rowsOf(a.Routes, func(o thconfig.Route) []string {
			return []string{o.Prefix, o.Name, o.Service, yesNo(o.Open)}
		})
	case thoperator.Customers:
		return []string{"customer", "rate", "burst", "deployment", "routes"}, rowsOf(a.Customers, func(u thconfig.Customer) []string {
			return []string{u.Name, fmt.Sprint(u.Rate), strconv.Itoa(u.Burst), u.Deployment, orAll(u.Routes)}
		})
	}
	return []string{"key", "customer"}, rowsOf(a.Keys, func(k thconfig.Key) []string {
		return []string{k.ID, k.Customer}
	})
}

func deploymentRow(d thconfig.Deployment) []string {
	names := make([]string, 0, len(d.Parameters))
	for _, p := range d.Parameters {
		names = append(names, p.Name)
	}
	return []string{d.Name, d.Template, strconv.Itoa(len(d.Services)), strconv.Itoa(len(d.Routes)), orAll(slices.Clip(names))}
}

func serviceRow(s thconfig.Service) []string {
	leaving := 0
	for _, t := range s.Targets {
		if t.Leaving {
			leaving++
		}
	}
	objective := fmt.Sprintf("%v in %d ms", s.Objective.Availability, s.Objective.LatencyMillis)
	return []string{
		s.Name, strconv.Itoa(len(s.Targets)), strconv.Itoa(leaving), strconv.Itoa(s.Slots),
		strconv.Itoa(s.Connections), fmt.Sprint(s.Floor), objective,
	}
}

func rowsOf[T any](all []T, row func(T) []string) [][]string {
	rows := make([][]string, 0, len(all))
	for _, t := range all {
		rows = append(rows, row(t))
	}
	return rows
}
