package thcommand

import (
	"context"
	"fmt"
	"strconv"

	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Status shows how every VM stands.
func Status(s Streams) *ffcli.Command {
	r := &remote{streams: s}
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "tamarackhollow status [flags]",
		ShortHelp:  "show each VM's version, freshness, homes and the targets it holds back",
		FlagSet:    r.flagSet("status"),
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := arguments(args, 0, 0, "status [flags]"); err != nil {
				return err
			}
			return r.status(ctx)
		},
	}
}

func (r *remote) status(ctx context.Context) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	a, err := c.Fleet(ctx)
	if err != nil {
		return err
	}
	if r.json {
		return printJSON(r.streams.Out, a)
	}
	headings := []string{"vm", "zone", "state", "version", "fresh for", "store", "roster", "homes", "in flight"}
	if err := table(r.streams.Out, headings, rowsOf(a.VMs, statusRow)); err != nil {
		return err
	}
	return r.printTargets(a.VMs)
}

func statusRow(s thoperator.Status) []string {
	if s.Failure != "" {
		return []string{s.VM.ID, s.VM.Zone, "unreachable: " + s.Failure}
	}
	fresh := "not fresh"
	if s.Fresh {
		fresh = fmt.Sprintf("%d ms", s.FreshMillis)
	}
	return []string{
		s.VM.ID, s.VM.Zone, stateOf(s), strconv.FormatUint(s.Version, 10), fresh, yesNo(s.StoreAnswers),
		fmt.Sprintf("%d (version %d)", s.RosterSize, s.RosterVersion), strconv.Itoa(s.LimitHomes), strconv.Itoa(s.InFlight),
	}
}

func stateOf(s thoperator.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

// printTargets lists the targets that some VM holds back.
func (r *remote) printTargets(vms []thoperator.Status) error {
	var rows [][]string
	for _, s := range vms {
		for _, t := range s.Targets {
			rows = append(rows, []string{t.Service, t.Address, t.State, s.VM.ID, t.Evidence})
		}
	}
	if len(rows) == 0 {
		_, _ = fmt.Fprintln(r.streams.Out, "\nevery target gets ordinary work")
		return nil
	}
	_, _ = fmt.Fprintln(r.streams.Out)
	return table(r.streams.Out, []string{"service", "target", "state", "seen by", "evidence"}, rows)
}
