package thburn_test

import (
	"fmt"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thconfig"
)

// A ledger can be used without the daemons: bring it counts by the minute from
// any number of sources, close the minutes and ask for a report.
func ExampleLedger() {
	var ledger thburn.Ledger
	name := thburn.Name{Customer: "depot", Service: "stock"}
	for minute := range int64(60) {
		ledger.Merge(at(firstMinute+minute), thburn.Batch{
			Source: "vm-1",
			Deltas: []thburn.Delta{{
				Sequence: uint64(minute + 1),
				Minute:   firstMinute + minute,
				Entries:  []thburn.Entry{{Name: name, Counts: thburn.Counts{Good: 80, Failed: 20}}},
			}},
		})
	}
	now := at(firstMinute + 59)
	ledger.Close(now, func(string) (float64, bool) { return 10, true })
	report := ledger.Report(now, thburn.Query{}, func(string) thconfig.Objective {
		return thconfig.Objective{Availability: 0.99}
	})
	for _, row := range report.Rows {
		fmt.Printf("%s of %s: %.0f %% good\n", row.Service, row.Customer, 100*report.Worst.Counts.GoodShare())
		fmt.Printf("%s over %s and %s\n", row.Alerts[0].Severity, row.Alerts[0].Long, row.Alerts[0].Short)
	}
	// Output:
	// stock of depot: 80 % good
	// page over 1h and 5m
}
