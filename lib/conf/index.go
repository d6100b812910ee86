package conf

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a place in a TOML text; both numbers count from 1.
type position struct {
	line   int
	column int
}

// index finds the position of a setting by its dotted path.
type index map[string]position

// places indexes the keys of a TOML text that parses.
func places(text []byte) index {
	at := make(index)
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = at.addKey(&p, e, nil)
		case unstable.KeyValue:
			at.addKey(&p, e, table)
		default:
		}
	}
	return at
}

// addKey records the position of each part of the expression's key below the prefix, and returns
// the whole path.
func (x index) addKey(p *unstable.Parser, e *unstable.Node, prefix []string) []string {
	path := append([]string(nil), prefix...)
	it := e.Key()
	for it.Next() {
		n := it.Node()
		path = append(path, string(n.Data))
		s := p.Shape(n.Raw)
		key := strings.Join(path, ".")
		if _, ok := x[key]; !ok {
			x[key] = position{line: s.Start.Line, column: s.Start.Column}
		}
	}
	return path
}

// finding places the message at the setting, or at the nearest table around it that the text has.
func (x index) finding(file string, path []string, message string) Finding {
	f := Finding{File: file, Message: message}
	if len(path) > 0 {
		f.Message = strings.Join(path, ".") + ": " + message
	}
	for n := len(path); n > 0; n-- {
		if p, ok := x[strings.Join(path[:n], ".")]; ok {
			f.Line, f.Column = p.line, p.column
			return f
		}
	}
	f.Line, f.Column = 1, 1
	return f
}
