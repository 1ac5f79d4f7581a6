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
	return fmt.Errorf("--output is %q: use %s or %s", t.output, outputTable, outputJSON)
}

// print writes a value as JSON, or calls forPeople.
func (t *tool) print(value any, forPeople func(w io.Writer) error) error {
	if t.output == outputTable {
		return forPeople(t.env.Stdout)
	}
	return t.printJSON(value)
}

func (t *tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.env.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write the answer: %w", err)
	}
	return nil
}

// table is a table for people, whose first row is its head.
type table struct {
	rows [][]string
}

func newTable(head ...string) *table {
	return &table{rows: [][]string{head}}
}

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
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
