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

// reportCommand holds the streams and flags of the report command.
type reportCommand struct {
	remoteCommand
	query          thburn.Query
	htmlPath       string
	exitCodeOnPage bool
}

// Report returns the command that shows how fast the services' error budgets burn.
func Report(s Streams) *ffcli.Command {
	r := &reportCommand{remoteCommand: remoteCommand{streams: s}}
	fs := r.newFlagSet("report")
	fs.StringVar(&r.query.Customer, "customer", "", "show only this customer")
	fs.StringVar(&r.query.Service, "service", "", "show only this service")
	fs.IntVar(&r.query.Top, "top", 0, "maximum number of rows by customer and service, those with alerts first, then by fastest burn; 0 means 50")
	fs.StringVar(&r.htmlPath, "html", "", "write an HTML page to this file instead of printing a table")
	fs.BoolVar(&r.exitCodeOnPage, "exitCode", false, "exit with code 10 if an alert that pages is raised")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "tamarackhollow report [flags]",
		ShortHelp:  "show how fast error budgets burn per customer and service, over all VMs",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args, "report [flags]"); err != nil {
				return err
			}
			return r.report(ctx)
		},
	}
}

// report fetches the report and prints it. With --exitCode it returns errPageRaised
// if the report raises a page.
func (r *reportCommand) report(ctx context.Context) error {
	c, err := r.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := r.withTimeout(ctx)
	defer cancel()
	report, err := c.Report(ctx, r.query)
	if err != nil {
		return err
	}
	if err := r.print(report); err != nil {
		return err
	}
	if r.exitCodeOnPage && report.HasPage() {
		return errPageRaised
	}
	return nil
}

// print writes the report as an HTML file, JSON or tables, as the flags say.
func (r *reportCommand) print(report thburn.Report) error {
	switch {
	case r.htmlPath != "":
		return r.writeHTMLFile(report)
	case r.json:
		return printJSON(r.streams.Out, report)
	}
	return r.printTable(report)
}

// writeHTMLFile writes the report as an HTML page to the file given by --html.
func (r *reportCommand) writeHTMLFile(report thburn.Report) (err error) {
	f, err := os.Create(r.htmlPath)
	if err != nil {
		return newUsageError("%v", err)
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if err := writePage(f, report, time.Now()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(r.streams.Out, "written to %s\n", r.htmlPath)
	return err
}

// printTable prints one table by service, one by customer and service, and a
// summary of the last hour.
func (r *reportCommand) printTable(report thburn.Report) error {
	out := r.streams.Out
	if len(report.Services) == 0 {
		_, _ = fmt.Fprintln(out, "no requests counted in any window")
	}
	if err := writeTable(out, reportHeadings("service"), tableRows(report.Services, func(row thburn.Row) []string { return reportRow(row.Service, row) })); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out)
	if err := writeTable(out, reportHeadings("customer, service"), tableRows(report.Rows, func(row thburn.Row) []string {
		return reportRow(customerLabel(row.Customer)+", "+row.Service, row)
	})); err != nil {
		return err
	}
	if report.LeftOut > 0 {
		_, _ = fmt.Fprintf(out, "%d more rows are not shown; raise --top to see them\n", report.LeftOut)
	}
	_, _ = fmt.Fprintf(out, "\nworst served in the last hour: %s\n", worstServedText(report.Worst))
	_, _ = fmt.Fprintf(out, "refused as over the limit in the last hour although the customer was within its rate: %d\n", report.WithinRate)
	if len(report.Missing) > 0 {
		_, _ = fmt.Fprintf(out, "not included, because these VMs did not answer: %s\n", strings.Join(report.Missing, ", "))
	}
	return nil
}

// reportHeadings returns the headings of a report table, which match reportRow.
func reportHeadings(first string) []string {
	headings := []string{first, "objective"}
	for _, w := range thburn.Windows() {
		headings = append(headings, "burn "+w.Name)
	}
	return append(headings, "good 1h", "slow", "failed", "refused", "within rate", "over limit", "alert", "refusals by kind")
}

// reportRow returns the cells of a report table's row.
func reportRow(first string, row thburn.Row) []string {
	cells := []string{first, objectiveText(row)}
	for _, w := range row.Windows {
		cells = append(cells, fmt.Sprintf("%.1f", w.BurnRate))
	}
	c := lastHourCounts(row)
	for _, n := range []uint32{c.Good, c.Slow, c.Failed, c.Refused, c.WithinRate, c.OverLimit} {
		cells = append(cells, fmt.Sprint(n))
	}
	return append(cells, alertText(row.Alerts), kindsText(row.Kinds))
}

// objectiveText formats the row's objective, such as "99% in 100 ms".
func objectiveText(row thburn.Row) string {
	if row.Objective.Availability == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g%% in %d ms", 100*row.Objective.Availability, row.Objective.LatencyMillis)
}

// lastHourCounts returns the row's counts of the window 1h, or zeros if it has none.
func lastHourCounts(row thburn.Row) thburn.Counts {
	for _, w := range row.Windows {
		if w.Window == "1h" {
			return w.Counts
		}
	}
	return thburn.Counts{}
}

// alertText formats alerts with their long and short windows, such as
// "page(1h/5m)".
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

// kindsText formats the numbers of refusals of each kind, such as "overLimit:4".
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

// worstServedText formats the customer with the lowest share of good requests.
func worstServedText(s thburn.CustomerCounts) string {
	if s.Customer == "" {
		return "no customer has had enough requests"
	}
	return fmt.Sprintf("%s, %.2f%% of %d requests good", s.Customer, 100*s.Counts.GoodShare(), s.Counts.Valid())
}

// customerLabel returns the customer's name, or a label for the requests on routes
// that need no key.
func customerLabel(customer string) string {
	if customer == "" {
		return "(open routes)"
	}
	return customer
}
