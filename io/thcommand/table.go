package thcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// writeTable prints rows under headings in aligned columns.
func writeTable(w io.Writer, headings []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.ToUpper(strings.Join(headings, "\t")))
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

// printJSON prints a value for programs.
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
