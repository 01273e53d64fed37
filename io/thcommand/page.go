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
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// The page's drawing, in pixels. A burn of 1 spends the whole budget in 30
// days; the scale is logarithmic, since alerts lie at 1, 6 and 14.4.
const (
	chartLeft   = 250.0
	chartWidth  = 520.0
	barHeight   = 12.0
	barGap      = 3.0
	groupGap    = 14.0
	scaleLowest = 0.1
	scaleTop    = 1000.0
)

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

type chart struct {
	Width, Height float64
	Lines         []chartLine
	Groups        []chartGroup
}

// chartLine is a burn rate that rules look at.
type chartLine struct {
	X    float64
	Text string
}

// chartGroup is one row's bars, one for each window.
type chartGroup struct {
	Name  string
	Y     float64
	Class string
	Bars  []chartBar
}

type chartBar struct {
	X, Y, Width, TextX, TextY float64
	Class, Text               string
}

type pageRow struct {
	Customer, Service, Objective, Alerts, Kinds string
	Paging                                      bool
	GoodPercent                                 string
	Counts                                      thburn.Counts
}

func writePage(w io.Writer, r thburn.Report, now time.Time) error {
	p := page{
		Time: now.UTC().Format("2006-01-02 15:04:05 MST"), Worst: worstServed(r.Worst), WithinRate: r.WithinRate,
		Missing: strings.Join(r.Missing, ", "), LeftOut: r.LeftOut, Paging: r.HasPage(),
		Services:  drawChart(r.Services, func(row thburn.Row) string { return row.Service }),
		Customers: drawChart(burning(r.Rows), func(row thburn.Row) string { return orOpen(row.Customer) + ", " + row.Service }),
	}
	for _, row := range r.Rows {
		c := hourOf(row)
		p.Rows = append(p.Rows, pageRow{
			Customer: orOpen(row.Customer), Service: row.Service, Objective: objectiveText(row),
			Alerts: alertText(row.Alerts), Kinds: kindsText(row.Kinds), Paging: isPaging(row),
			GoodPercent: fmt.Sprintf("%.2f", 100*c.GoodShare()), Counts: c,
		})
	}
	return pageTemplate.Execute(w, p)
}

const mostDrawn = 12

// burning returns the rows to draw: the fastest burns, which come first.
func burning(rows []thburn.Row) []thburn.Row {
	for i, r := range rows {
		if i == mostDrawn || !burns(r) {
			return rows[:i]
		}
	}
	return rows
}

func burns(row thburn.Row) bool {
	for _, w := range row.Windows {
		if w.BurnRate > 0 {
			return true
		}
	}
	return false
}

func isPaging(row thburn.Row) bool {
	for _, a := range row.Alerts {
		if a.Severity == thburn.Page {
			return true
		}
	}
	return false
}

func drawChart(rows []thburn.Row, name func(thburn.Row) string) chart {
	const margin, textRoom = 20.0, 60.0
	c := chart{Width: chartLeft + chartWidth + textRoom}
	for _, burn := range []float64{0.1, 1, 6, 14.4, 100, 1000} {
		c.Lines = append(c.Lines, chartLine{X: chartLeft + scaled(burn), Text: fmt.Sprint(burn)})
	}
	y := margin
	for _, row := range rows {
		g := chartGroup{Name: name(row), Y: y + barHeight*2.5, Class: classOf(row)}
		for i, w := range row.Windows {
			g.Bars = append(g.Bars, chartBar{
				X: chartLeft, Y: y, Width: scaled(w.BurnRate), Class: fmt.Sprintf("w%d", i),
				TextX: chartLeft + scaled(w.BurnRate) + barGap, TextY: y + barHeight - barGap/2,
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

func classOf(row thburn.Row) string {
	switch {
	case isPaging(row):
		return "page"
	case len(row.Alerts) > 0:
		return "ticket"
	}
	return "calm"
}

// scaled returns the length of a burn rate's bar.
func scaled(burn float64) float64 {
	if burn <= scaleLowest {
		return 0
	}
	share := math.Log(burn/scaleLowest) / math.Log(scaleTop/scaleLowest)
	return chartWidth * min(1, share)
}
