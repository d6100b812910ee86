package sheet

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/conf"
)

// Columns of a sheet. A table.Field of the same number is in that column.
const (
	columnKind = iota
	columnName
	columnWeight
	columnLimit
	columnState
	columnCount
)

// maxLimit is the largest limit of a row in calls in flight.
const maxLimit = 1_000_000

// decoder decodes records and collects the findings.
type decoder struct {
	file   string
	csv    *csv.Reader
	record []string
	rows   []table.Row
	// places holds the position of each field of each decoded row.
	places [][columnCount]position
	found  conf.Findings
}

// readAll decodes all records, up to a syntax error.
func (d *decoder) readAll() {
	for first := true; ; first = false {
		rec, err := d.csv.Read()
		if errors.Is(err, io.EOF) {
			if first {
				d.found = append(d.found, conf.Finding{File: d.file, Line: 1, Column: 1, Message: "sheet has no header row"})
			}
			return
		}
		if err != nil {
			d.found = append(d.found, syntaxFinding(d.file, err))
			return
		}
		d.record = rec
		d.readRecord(first)
	}
}

func (d *decoder) readRecord(first bool) {
	switch {
	case first && !isHeader(d.record):
		d.add(0, fmt.Sprintf("first row is not %q", header()))
	case first:
	case len(d.record) != columnCount:
		d.add(0, fmt.Sprintf("row has %d columns, not %d", len(d.record), columnCount))
	default:
		d.rows = append(d.rows, d.row())
		var at [columnCount]position
		for i := range at {
			at[i].line, at[i].column = d.csv.FieldPos(i)
		}
		d.places = append(d.places, at)
	}
}

func (d *decoder) row() table.Row {
	return table.Row{
		Kind:   parse(d, columnKind, table.KindString),
		Name:   d.record[columnName],
		Weight: ident.Weight(parse(d, columnWeight, parseNumber(int64(ident.MaxWeight)))),
		Limit:  ident.Slots(parse(d, columnLimit, parseNumber(maxLimit))),
		State:  parse(d, columnState, table.StateString),
	}
}

// check adds the findings of the rows as a whole.
func (d *decoder) check(service ident.ServiceName) {
	for _, f := range table.Check(service, d.rows) {
		p := d.places[f.Row][f.Field]
		d.found = append(d.found, conf.Finding{File: d.file, Line: p.line, Column: p.column, Message: f.Message})
	}
}

func (d *decoder) add(column int, message string) {
	line, col := d.csv.FieldPos(column)
	d.found = append(d.found, conf.Finding{File: d.file, Line: line, Column: col, Message: message})
}

func parse[T any](d *decoder, column int, f func(string) (T, error)) T {
	v, err := f(d.record[column])
	if err != nil {
		d.add(column, err.Error())
	}
	return v
}

func parseNumber(maximum int64) func(string) (int64, error) {
	return func(s string) (int64, error) {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 || n > maximum {
			return 0, fmt.Errorf("%q is not a whole number from 0 to %d", s, maximum)
		}
		return n, nil
	}
}
