package table

import (
	"fmt"

	"goldcreststand.example/core/ident"
)

// Field is the field of a row that a Finding refers to.
type Field int

// Fields of a row.
const (
	// FieldKind is the row's kind.
	FieldKind Field = iota
	// FieldName is the row's name.
	FieldName
	// FieldWeight is the row's weight.
	FieldWeight
	// FieldLimit is the row's limit.
	FieldLimit
	// FieldState is the row's state.
	FieldState
)

// Finding is one error in a set of rows.
type Finding struct {
	// Row is the index of the row.
	Row     int
	Field   Field
	Message string
}

// rowKey identifies what a row applies to.
type rowKey struct {
	kind Kind
	name string
}

// Check returns all errors in the rows of the named service: duplicate rows, and names, weights, limits
// and states that are not allowed.
func Check(service ident.ServiceName, rows []Row) []Finding {
	var out []Finding
	first := make(map[rowKey]int, len(rows))
	for i, r := range rows {
		out = append(out, checkRow(service, i, r)...)
		s := rowKey{kind: r.Kind, name: r.Name}
		if j, ok := first[s]; ok {
			out = append(out, Finding{Row: i, Field: FieldName, Message: fmt.Sprintf("%s %s stands in row %d already", r.Kind, r.Name, j+1)})
			continue
		}
		first[s] = i
	}
	return out
}

func checkRow(service ident.ServiceName, i int, r Row) []Finding {
	var out []Finding
	add := func(f Field, format string, args ...any) {
		out = append(out, Finding{Row: i, Field: f, Message: fmt.Sprintf(format, args...)})
	}
	if err := ident.CheckName(r.Name); err != nil {
		add(FieldName, "%v", err)
	}
	if r.Kind == KindService && r.Name != string(service) {
		add(FieldName, "row of kind service names %s, not %s", r.Name, service)
	}
	if r.Kind == KindService && r.State == StateOut {
		add(FieldState, "a service cannot be out; set its failure domains out")
	}
	if r.Weight > ident.MaxWeight {
		add(FieldWeight, "weight %d is above %d", r.Weight, ident.MaxWeight)
	}
	if r.Limit < 0 {
		add(FieldLimit, "limit %d is negative", r.Limit)
	}
	return out
}
