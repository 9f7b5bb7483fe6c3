// Package tabulator writes Markdown tables.
package tabulator

import (
	"fmt"
	"strings"
)

// Table is a table with a title above it.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Add appends a row. Floats are rounded to three significant digits or more.
func (t *Table) Add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		if f, ok := c.(float64); ok {
			row = append(row, formatFloat(f))
			continue
		}
		row = append(row, fmt.Sprint(c))
	}
	t.Rows = append(t.Rows, row)
}

func formatFloat(f float64) string {
	switch {
	case f == 0:
		return "0"
	case f >= 100 || f <= -100:
		return fmt.Sprintf("%.0f", f)
	case f >= 1 || f <= -1:
		return fmt.Sprintf("%.2f", f)
	default:
		return fmt.Sprintf("%.3g", f)
	}
}

// String returns the table as Markdown.
func (t *Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n| %s |\n|%s\n", t.Title, strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String() + "\n"
}
