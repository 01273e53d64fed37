package thcommand

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"tamarackhollow/core/thburn"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Parse(pageHTML))

// Sizes of the charts in pixels, and the burn rates at both ends of their scale. A
// burn rate of 1 spends the whole error budget in 30 days. The scale is logarithmic
// because alerts are raised at 1, 6 and 14.4.
const (
	chartLeft  = 250.0
	chartWidth = 520.0
	barHeight  = 12.0
	barGap     = 3.0
	groupGap   = 14.0
	scaleMin   = 0.1
	scaleMax   = 1000.0
)

// page holds what page.html shows. The template accesses the fields of this type
// and of those below by name.
type page struct {
	Time       string
	Worst      string
	WithinRate uint64
	Missing    string
	LeftOut    int
	Paging     bool
	Services   chart
	Customers  chart
	Rows       []pageRow
}

// chart is a bar chart of burn rates; positions and sizes are in pixels.
type chart struct {
	Width, Height float64
	Lines         []chartLine
	Groups        []chartGroup
}

// chartLine is a vertical line that marks a burn rate.
type chartLine struct {
	X    float64
	Text string
}

// chartGroup holds the bars of one report row, one for each window.
type chartGroup struct {
	Name  string
	Y     float64
	Class string
	Bars  []chartBar
}

// chartBar is a bar and the text at its end.
type chartBar struct {
	X, Y, Width, TextX, TextY float64
	Class, Text               string
}

// pageRow is a line of the table of customers and services.
type pageRow struct {
	Customer, Service, Objective, Alerts, Kinds string
	Paging                                      bool
	GoodPercent                                 string
	Counts                                      thburn.Counts
}

// writePage writes a report as a single HTML page.
func writePage(w io.Writer, r thburn.Report, now time.Time) error {
	p := page{
		Time: now.UTC().Format("2006-01-02 15:04:05 MST"), Worst: worstServedText(r.Worst), WithinRate: r.WithinRate,
		Missing: strings.Join(r.Missing, ", "), LeftOut: r.LeftOut, Paging: r.HasPage(),
		Services:  newChart(r.Services, func(row thburn.Row) string { return row.Service }),
		Customers: newChart(chartRows(r.Rows), func(row thburn.Row) string { return customerLabel(row.Customer) + ", " + row.Service }),
	}
	for _, row := range r.Rows {
		c := lastHourCounts(row)
		p.Rows = append(p.Rows, pageRow{
			Customer: customerLabel(row.Customer), Service: row.Service, Objective: objectiveText(row),
			Alerts: alertText(row.Alerts), Kinds: kindsText(row.Kinds), Paging: isPaging(row),
			GoodPercent: fmt.Sprintf("%.2f", 100*c.GoodShare()), Counts: c,
		})
	}
	return pageTemplate.Execute(w, p)
}

// maxChartRows bounds the rows in the chart of customers.
const maxChartRows = 12

// chartRows returns the rows to draw: at most the first maxChartRows, and none from
// the first row without burn on. The report lists rows with alerts first, and then
// those with the fastest burn.
func chartRows(rows []thburn.Row) []thburn.Row {
	for i, r := range rows {
		if i == maxChartRows || !hasBurn(r) {
			return rows[:i]
		}
	}
	return rows
}

// hasBurn reports whether the row's burn rate is above zero in any window.
func hasBurn(row thburn.Row) bool {
	for _, w := range row.Windows {
		if w.BurnRate > 0 {
			return true
		}
	}
	return false
}

// isPaging reports whether one of the row's alerts is a page.
func isPaging(row thburn.Row) bool {
	for _, a := range row.Alerts {
		if a.Severity == thburn.Page {
			return true
		}
	}
	return false
}

// newChart lays out a chart with a group of bars for each row, named by name.
func newChart(rows []thburn.Row, name func(thburn.Row) string) chart {
	const margin, labelWidth = 20.0, 60.0
	c := chart{Width: chartLeft + chartWidth + labelWidth}
	for _, burn := range []float64{0.1, 1, 6, 14.4, 100, 1000} {
		c.Lines = append(c.Lines, chartLine{X: chartLeft + barLength(burn), Text: fmt.Sprint(burn)})
	}
	y := margin
	for _, row := range rows {
		g := chartGroup{Name: name(row), Y: y + barHeight*2.5, Class: cssClass(row)}
		for i, w := range row.Windows {
			g.Bars = append(g.Bars, chartBar{
				X: chartLeft, Y: y, Width: barLength(w.BurnRate), Class: fmt.Sprintf("w%d", i),
				TextX: chartLeft + barLength(w.BurnRate) + barGap, TextY: y + barHeight - barGap/2,
				Text: fmt.Sprintf("%s: %.1f", w.Window, w.BurnRate),
			})
			y += barHeight + barGap
		}
		c.Groups = append(c.Groups, g)
		y += groupGap
	}
	c.Height = y
	return c
}

// cssClass returns the CSS class of a row's name, by its most severe alert.
func cssClass(row thburn.Row) string {
	switch {
	case isPaging(row):
		return "page"
	case len(row.Alerts) > 0:
		return "ticket"
	}
	return "calm"
}

// barLength returns the length of a burn rate's bar in pixels, from 0 for scaleMin
// and less to chartWidth for scaleMax and more.
func barLength(burn float64) float64 {
	if burn <= scaleMin {
		return 0
	}
	share := math.Log(burn/scaleMin) / math.Log(scaleMax/scaleMin)
	return chartWidth * min(1, share)
}
