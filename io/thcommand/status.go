package thcommand

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/io/thoperator"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Status returns the command that shows the state of each VM.
func Status(s Streams) *ffcli.Command {
	r := &remoteCommand{streams: s}
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "tamarackhollow status [flags]",
		ShortHelp:  "show each VM's state, versions and connectivity, and the targets that it avoids",
		FlagSet:    r.newFlagSet("status"),
		Options:    flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args, "status [flags]"); err != nil {
				return err
			}
			return r.status(ctx)
		},
	}
}

// status fetches the status of all VMs and prints it as JSON or as tables.
func (r *remoteCommand) status(ctx context.Context) error {
	c, err := r.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := r.withTimeout(ctx)
	defer cancel()
	f, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if r.json {
		return printJSON(r.streams.Out, f)
	}
	headings := []string{"vm", "zone", "state", "table version", "targets version", "store era", "store answers", "reads store", "table age", "targets age", "live vms", "in flight", "evacuations version", "evacuated zones"}
	if err := writeTable(r.streams.Out, headings, tableRows(f.VMs, statusRow)); err != nil {
		return err
	}
	return r.printTargets(f.VMs)
}

// statusRow returns the cells of a VM's row.
func statusRow(s thoperator.VMStatus) []string {
	return []string{
		s.VM, s.Zone, s.State, strconv.FormatUint(s.TableVersion, 10), strconv.FormatUint(s.TargetsVersion, 10), strconv.FormatUint(s.StoreEra, 10),
		yesNo(s.StoreAnswers), yesNo(s.IsReader), ageCell(s.TableAgeMillis), ageCell(s.TargetsAgeMillis), strconv.Itoa(s.LiveVMs), strconv.Itoa(s.InFlight),
		strconv.FormatUint(s.EvacuationsVersion, 10), strings.Join(s.Evacuated, " "),
	}
}

// ageCell returns the cell with the age of a read of the store.
func ageCell(millis uint16) string {
	if millis == thfleet.UnknownReadAge {
		return "unknown"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

// printTargets prints a row for each target and VM that reports it as suspect, paused, cold
// or draining.
func (r *remoteCommand) printTargets(vms []thoperator.VMStatus) error {
	var rows [][]string
	for _, s := range vms {
		for _, t := range s.Targets {
			rows = append(rows, []string{t.Service, t.Target, t.Address, t.State, s.VM, fmt.Sprintf("%.1f%%", float64(t.FailurePerMille)/10), spanCell(t.PausedMillis), spanCell(t.ColdMillis)})
		}
	}
	if len(rows) == 0 {
		_, _ = fmt.Fprintln(r.streams.Out, "\nno VM reports a target as suspect, paused, cold or leaving")
		return nil
	}
	_, _ = fmt.Fprintln(r.streams.Out)
	return writeTable(r.streams.Out, []string{"service", "target", "address", "state", "reported by", "failure probability", "paused for", "cold for"}, rows)
}

// spanCell returns the cell with the rest of a target's pause or cold time, which is empty if it
// has none.
func spanCell(millis int64) string {
	if millis == 0 {
		return ""
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

// tableRows converts each element to the cells of a row.
func tableRows[T any](all []T, row func(T) []string) [][]string {
	rows := make([][]string, 0, len(all))
	for _, t := range all {
		rows = append(rows, row(t))
	}
	return rows
}
