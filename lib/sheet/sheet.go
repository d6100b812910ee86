// Package sheet reads and writes the rows of a routing table as comma-separated values (RFC 4180), the
// form that spreadsheets exchange.
package sheet

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/conf"
)

// Columns of a sheet.
const (
	columnKind = iota
	columnName
	columnWeight
	columnLimit
	columnState
	columnCount
)

func header() []string { return []string{"kind", "name", "weight", "limit", "state"} }

// Read returns the rows of a sheet. Faults of its content are conf.Findings, placed in the named file.
func Read(file string, r io.Reader) ([]table.Row, error) {
	cr := csv.NewReader(r)
	cr.FieldsPerRecord = -1
	var rows []table.Row
	var found conf.Findings
	for first := true; ; first = false {
		rec, err := cr.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, append(found, syntaxFinding(file, err))
		}
		d := &decoder{file: file, csv: cr, record: rec}
		switch {
		case first && !slices.Equal(rec, header()):
			d.add(0, fmt.Sprintf("first row is not %q", header()))
		case first:
		case len(rec) != columnCount:
			d.add(0, fmt.Sprintf("row has %d columns, not %d", len(rec), columnCount))
		default:
			rows = append(rows, d.row())
		}
		found = append(found, d.found...)
	}
	if len(found) > 0 {
		return nil, found
	}
	return rows, nil
}

// Write writes the rows as a sheet.
func Write(w io.Writer, rows []table.Row) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(header()); err != nil {
		return err
	}
	for _, r := range rows {
		rec := []string{
			r.Kind.String(), r.Name, strconv.FormatUint(uint64(r.Weight), 10),
			strconv.FormatInt(int64(r.Limit), 10), r.State.String(),
		}
		if err := cw.Write(rec); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}

// decoder decodes one record and collects its findings.
type decoder struct {
	file   string
	csv    *csv.Reader
	record []string
	found  conf.Findings
}

func (d *decoder) row() table.Row {
	return table.Row{
		Kind:   parse(d, columnKind, table.KindString),
		Name:   parse(d, columnName, parseName),
		Weight: ident.Weight(parse(d, columnWeight, parseNumber(int64(ident.MaxWeight)))),
		Limit:  ident.Slots(parse(d, columnLimit, parseNumber(maxLimit))),
		State:  parse(d, columnState, table.StateString),
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

// maxLimit is the largest limit of a row in calls in flight.
const maxLimit = 1_000_000

func parseName(s string) (string, error) { return s, ident.CheckName(s) }

func parseNumber(maximum int64) func(string) (int64, error) {
	return func(s string) (int64, error) {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 || n > maximum {
			return 0, fmt.Errorf("%q is not a whole number from 0 to %d", s, maximum)
		}
		return n, nil
	}
}

func syntaxFinding(file string, err error) conf.Finding {
	var p *csv.ParseError
	if errors.As(err, &p) {
		return conf.Finding{File: file, Line: p.Line, Column: p.Column, Message: p.Err.Error()}
	}
	return conf.Finding{File: file, Message: err.Error()}
}
