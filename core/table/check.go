package table

import (
	"fmt"

	"goldcreststand.example/core/ident"
)

// Field names the part of a row that a Finding is about.
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

// Finding is one fault of a set of rows.
type Finding struct {
	// Row is the index of the row.
	Row     int
	Field   Field
	Message string
}

// subject is what a row is about.
type subject struct {
	kind Kind
	name string
}

// Check returns all faults of the rows of the named service: subjects that stand twice, names and
// weights that are not allowed, and rows that leave no failure domain or version to take work.
func Check(service ident.ServiceName, rows []Row) []Finding {
	var out []Finding
	first := make(map[subject]int, len(rows))
	for i, r := range rows {
		out = append(out, checkRow(service, i, r)...)
		s := subject{kind: r.Kind, name: r.Name}
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
