package thburn_test

import (
	"fmt"

	"tamarackhollow/core/thburn"
)

// A recorder can be used outside the proxy: record requests as they end, and
// merge the reports of all recorders.
func ExampleRecorder() {
	var recorder thburn.Recorder
	objective := thburn.Objective{Availability: 0.99}
	for minute := range int64(60) {
		for i := range 100 {
			o := thburn.Observation{Customer: "depot", Service: "stock", Status: 200}
			if i < 20 {
				o.Status = 500
			}
			recorder.Record(at(firstMinute+minute), o, objective)
		}
	}
	part := recorder.Report(at(firstMinute+59), thburn.Lookup{
		Objective: func(string) thburn.Objective { return objective },
		Rate:      func(string) float64 { return 10 },
	})
	report := thburn.Merge(thburn.Query{}, []thburn.Report{part})
	for _, row := range report.Rows {
		fmt.Printf("%s of %s: %.0f %% good\n", row.Service, row.Customer, 100*report.Worst.Counts.GoodShare())
		fmt.Printf("%s over %s and %s\n", row.Alerts[0].Severity, row.Alerts[0].LongWindow, row.Alerts[0].ShortWindow)
	}
	// Output:
	// stock of depot: 80 % good
	// page over 1h and 5m
}
