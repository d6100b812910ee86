package conf

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and column in a TOML text; both start at 1.
type position struct {
	line   int
	column int
}

// keyPositions finds the position of a setting by its dotted path.
type keyPositions map[string]position

// indexKeys returns the positions of the keys in a syntactically valid TOML text.
func indexKeys(text []byte) keyPositions {
	positions := make(keyPositions)
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = positions.addKey(&p, e, nil)
		case unstable.KeyValue:
			positions.addKey(&p, e, table)
		default:
		}
	}
	return positions
}

// addKey records the position of each part of the expression's key below the prefix and returns
// the full path.
func (k keyPositions) addKey(p *unstable.Parser, e *unstable.Node, prefix []string) []string {
	path := append([]string(nil), prefix...)
	it := e.Key()
	for it.Next() {
		n := it.Node()
		path = append(path, string(n.Data))
		s := p.Shape(n.Raw)
		key := strings.Join(path, ".")
		if _, ok := k[key]; !ok {
			k[key] = position{line: s.Start.Line, column: s.Start.Column}
		}
	}
	return path
}

// finding returns a finding at the position of the setting. If the text does not contain the setting,
// the position is that of the nearest enclosing table.
func (k keyPositions) finding(file string, path []string, message string) Finding {
	f := Finding{File: file, Message: message}
	if len(path) > 0 {
		f.Message = strings.Join(path, ".") + ": " + message
	}
	for n := len(path); n > 0; n-- {
		if p, ok := k[strings.Join(path[:n], ".")]; ok {
			f.Line, f.Column = p.line, p.column
			return f
		}
	}
	f.Line, f.Column = 1, 1
	return f
}
