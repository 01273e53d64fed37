package thcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// writeTable writes rows in aligned columns, under headings in capitals.
func writeTable(w io.Writer, headings []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.ToUpper(strings.Join(headings, "\t")))
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
