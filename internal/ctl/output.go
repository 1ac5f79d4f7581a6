package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (t *tool) checkOutput() error {
	if t.output == outputTable || t.output == outputJSON {
		return nil
	}
	return fmt.Errorf("--output %q is unknown: use %s or %s", t.output, outputTable, outputJSON)
}

// print writes value as JSON with --output json, and otherwise calls writeTable with
// standard output.
func (t *tool) print(value any, writeTable func(w io.Writer) error) error {
	if t.output == outputTable {
		return writeTable(t.env.Stdout)
	}
	return t.printJSON(value)
}

func (t *tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.env.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write JSON output: %w", err)
	}
	return nil
}

// table is a text table whose first row is its header.
type table struct {
	rows [][]string
}

func newTable(header ...string) *table {
	return &table{rows: [][]string{header}}
}

// add appends a row. An empty cell is shown as "-", so that every column has a value.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	const padding = 2
	tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table output: %w", err)
	}
	return nil
}
