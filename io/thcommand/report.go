package thcommand

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"tamarackhollow/core/thburn"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// reporter holds the flags of the report.
type reporter struct {
	remote
	query thburn.Query
	page  string
	code  bool
}

// Report shows how fast the services' error budgets burn.
func Report(s Streams) *ffcli.Command {
	r := &reporter{remote: remote{streams: s}}
	fs := r.flagSet("report")
	fs.StringVar(&r.query.Customer, "customer", "", "only this customer")
	fs.StringVar(&r.query.Service, "service", "", "only this service")
	fs.IntVar(&r.query.Top, "top", 0, "most rows, the fastest burn first; 0 means 50")
	fs.StringVar(&r.page, "html", "", "write a page to this file in place of a table")
	fs.BoolVar(&r.code, "exitCode", false, "end with an exit code of its own if a page is raised")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "tamarackhollow report [flags]",
		ShortHelp:  "show service-level burn per customer and service, over all VMs",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args, "report [flags]"); err != nil {
				return err
			}
			return r.report(ctx)
		},
	}
}

func (r *reporter) report(ctx context.Context) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	report, err := c.Report(ctx, r.query)
	if err != nil {
		return err
	}
	if err := r.print(report); err != nil {
		return err
	}
	if r.code && report.HasPage() {
		return errPaging
	}
	return nil
}

func (r *reporter) print(report thburn.Report) error {
	switch {
	case r.page != "":
		return r.writePage(report)
	case r.json:
		return printJSON(r.streams.Out, report)
	}
	return r.printTable(report)
}

func (r *reporter) writePage(report thburn.Report) (err error) {
	f, err := os.Create(r.page)
	if err != nil {
		return usage("%v", err)
	}
	defer func() {
		if closed := f.Close(); err == nil {
			err = closed
		}
	}()
	if err := writePage(f, report, time.Now()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(r.streams.Out, "written to %s\n", r.page)
	return err
}

func (r *reporter) printTable(report thburn.Report) error {
	out := r.streams.Out
	if len(report.Services) == 0 {
		_, _ = fmt.Fprintln(out, "no requests counted in any window")
	}
	if err := table(out, reportHeadings("service"), rowsOf(report.Services, func(row thburn.Row) []string { return reportRow(row.Service, row) })); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out)
	if err := table(out, reportHeadings("customer, service"), rowsOf(report.Rows, func(row thburn.Row) []string {
		return reportRow(orOpen(row.Customer)+", "+row.Service, row)
	})); err != nil {
		return err
	}
	if report.LeftOut > 0 {
		_, _ = fmt.Fprintf(out, "and %d rows that burn slower; see --top\n", report.LeftOut)
	}
	_, _ = fmt.Fprintf(out, "\nworst served in the last hour: %s\n", worstServed(report.Worst))
	_, _ = fmt.Fprintf(out, "refused in the last hour although within rate: %d\n", report.WithinRate)
	if len(report.Missing) > 0 {
		_, _ = fmt.Fprintf(out, "missing, since they did not answer: %s\n", strings.Join(report.Missing, ", "))
	}
	return nil
}

func reportHeadings(first string) []string {
	headings := []string{first, "objective"}
	for _, w := range thburn.Windows() {
		headings = append(headings, "burn "+w.Name)
	}
	return append(headings, "good 1h", "slow", "failed", "refused", "within rate", "over limit", "alert", "refusals by kind")
}

func reportRow(first string, row thburn.Row) []string {
	cells := []string{first, objectiveText(row)}
	for _, w := range row.Windows {
		cells = append(cells, fmt.Sprintf("%.1f", w.BurnRate))
	}
	c := hourOf(row)
	for _, n := range []uint32{c.Good, c.Slow, c.Failed, c.Refused, c.WithinRate, c.OverLimit} {
		cells = append(cells, fmt.Sprint(n))
	}
	return append(cells, alertText(row.Alerts), kindsText(row.Kinds))
}

func objectiveText(row thburn.Row) string {
	if row.Objective.Availability == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g%% in %d ms", 100*row.Objective.Availability, row.Objective.LatencyMillis)
}

// hourOf returns the counts of the last hour.
func hourOf(row thburn.Row) thburn.Counts {
	for _, w := range row.Windows {
		if w.Window == "1h" {
			return w.Counts
		}
	}
	return thburn.Counts{}
}

func alertText(alerts []thburn.Alert) string {
	if len(alerts) == 0 {
		return "-"
	}
	all := make([]string, 0, len(alerts))
	for _, a := range alerts {
		all = append(all, fmt.Sprintf("%s(%s/%s)", a.Severity, a.LongWindow, a.ShortWindow))
	}
	return strings.Join(all, ",")
}

func kindsText(kinds []thburn.KindCount) string {
	if len(kinds) == 0 {
		return "-"
	}
	all := make([]string, 0, len(kinds))
	for _, k := range kinds {
		all = append(all, fmt.Sprintf("%s:%d", k.Kind, k.Count))
	}
	return strings.Join(all, ",")
}

func worstServed(s thburn.CustomerCounts) string {
	if s.Customer == "" {
		return "nobody has had enough requests"
	}
	return fmt.Sprintf("%s, %.2f%% of %d requests good", s.Customer, 100*s.Counts.GoodShare(), s.Counts.Valid())
}

func orOpen(customer string) string {
	if customer == "" {
		return "(open routes)"
	}
	return customer
}
