// Package sheet reads and writes the rows of a routing table as comma-separated values (RFC 4180), which
// operators can edit in a spreadsheet. A comment line names the service and the revision of the table. It
// is used to detect edits of an outdated revision.
package sheet

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/conf"
)

// commentRune starts a comment line.
const commentRune = '#'

// Sheet is a routing table as read from a file.
type Sheet struct {
	// Service is empty if the sheet does not name it.
	Service ident.ServiceName
	// Revision is the table revision that the sheet was written from, or 0 if the sheet does not name it.
	Revision ident.Revision
	Rows     []table.Row
}

// position is a line and column in a sheet; both start at 1.
type position struct {
	line   int
	column int
}

// Read decodes and validates a sheet for the named service. Invalid content is returned as conf.Findings
// with the given file name.
func Read(file string, service ident.ServiceName, r io.Reader) (*Sheet, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	s := &Sheet{}
	s.readComment(b)
	d := &decoder{file: file, csv: csv.NewReader(bytes.NewReader(b))}
	d.csv.FieldsPerRecord = -1
	d.csv.Comment = commentRune
	d.readAll()
	if len(d.found) == 0 {
		d.check(service)
	}
	if s.Service != "" && s.Service != service {
		d.found = append(d.found, conf.Finding{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("sheet is for service %s, not %s", s.Service, service)})
	}
	if len(d.found) > 0 {
		return nil, d.found
	}
	s.Rows = d.rows
	return s, nil
}

// Write writes the table as a sheet.
func Write(w io.Writer, t *table.Table) error {
	if _, err := fmt.Fprintf(w, "%c service %s revision %d\n", commentRune, t.Service, t.Revision); err != nil {
		return err
	}
	cw := csv.NewWriter(w)
	if err := cw.Write(header()); err != nil {
		return err
	}
	for _, r := range t.Rows {
		if err := cw.Write(Fields(r)); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}

// Fields returns the fields of the row in column order.
func Fields(r table.Row) []string {
	return []string{
		r.Kind.String(), r.Name, strconv.FormatUint(uint64(r.Weight), 10),
		strconv.FormatInt(int64(r.Limit), 10), r.State.String(),
	}
}

// readComment reads the service and revision from the first line. It accepts lines that a spreadsheet
// padded with empty columns or quoted.
func (s *Sheet) readComment(b []byte) {
	line, _ := bufio.NewReader(bytes.NewReader(b)).ReadString('\n')
	words := strings.Fields(strings.Trim(strings.TrimSpace(line), `,"`))
	if len(words) != 5 || words[0] != string(commentRune) || words[1] != "service" || words[3] != "revision" {
		return
	}
	n, err := strconv.ParseUint(words[4], 10, 64)
	if err != nil || s.Service.UnmarshalText([]byte(words[2])) != nil {
		return
	}
	s.Revision = ident.Revision(n)
}

func header() []string { return []string{"kind", "name", "weight", "limit", "state"} }

// syntaxFinding converts an error of the CSV reader to a finding.
func syntaxFinding(file string, err error) conf.Finding {
	var p *csv.ParseError
	if errors.As(err, &p) {
		return conf.Finding{File: file, Line: p.Line, Column: p.Column, Message: p.Err.Error()}
	}
	return conf.Finding{File: file, Message: err.Error()}
}

func isHeader(rec []string) bool { return slices.Equal(rec, header()) }
