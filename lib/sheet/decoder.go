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

// Column indexes of a sheet. They equal the values of table.Field.
const (
	columnKind = iota
	columnName
	columnWeight
	columnLimit
	columnState
	columnCount
)

// maxLimit is the highest limit that a row can set, in calls in flight.
const maxLimit = 1_000_000

// decoder decodes CSV records into rows and collects findings.
type decoder struct {
	file   string
	csv    *csv.Reader
	record []string
	rows   []table.Row
	// positions holds the positions of the fields of each decoded row.
	positions [][columnCount]position
	found     conf.Findings
}

// readAll decodes all records. It stops at a CSV syntax error.
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
		var fields [columnCount]position
		for i := range fields {
			fields[i].line, fields[i].column = d.csv.FieldPos(i)
		}
		d.positions = append(d.positions, fields)
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

// check validates the rows as a whole and adds the findings.
func (d *decoder) check(service ident.ServiceName) {
	for _, f := range table.Check(service, d.rows) {
		p := d.positions[f.Row][f.Field]
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
