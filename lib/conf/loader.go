package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/zeebo/errs"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// schemaURL identifies the schema in the JSON Schema compiler.
const schemaURL = "settings.json"

// Error is the class of all errors of this package other than Findings.
var Error = errs.Class("conf")

// Loader decodes TOML settings and validates them against a JSON Schema.
type Loader struct {
	schema   *jsonschema.Schema
	defaults []byte
	printer  *message.Printer
}

// NewLoader returns a Loader for a JSON Schema. The TOML text defaults holds the values of settings
// that a file does not set.
func NewLoader(schema, defaults []byte) (*Loader, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		return nil, Error.Wrap(err)
	}
	s, err := c.Compile(schemaURL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Loader{schema: s, defaults: defaults, printer: message.NewPrinter(language.English)}, nil
}

// LoadFile reads the file and decodes it into v. Invalid content is returned as Findings.
func (l *Loader) LoadFile(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	return l.Load(file, b, v)
}

// Load decodes the TOML text into v. Invalid content is returned as Findings with the given file name.
func (l *Loader) Load(file string, text []byte, v any) error {
	doc := make(map[string]any)
	if err := toml.Unmarshal(l.defaults, &doc); err != nil {
		return Error.Wrap(err)
	}
	fileValues := make(map[string]any)
	if err := toml.Unmarshal(text, &fileValues); err != nil {
		return syntaxFindings(file, err)
	}
	merge(doc, fileValues)
	b, err := json.Marshal(doc)
	if err != nil {
		return Error.Wrap(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := l.schema.Validate(value); err != nil {
		return l.schemaFindings(file, text, err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return Findings{{File: file, Message: err.Error()}}
	}
	return nil
}

func (l *Loader) schemaFindings(file string, text []byte, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Error.Wrap(err)
	}
	positions := indexKeys(text)
	var out Findings
	for _, leaf := range Leaves(invalid) {
		out = append(out, l.leafFindings(file, positions, leaf)...)
	}
	return out.sorted()
}

func (l *Loader) leafFindings(file string, positions keyPositions, leaf *jsonschema.ValidationError) Findings {
	if extra, ok := leaf.ErrorKind.(*kind.AdditionalProperties); ok {
		var out Findings
		for _, p := range extra.Properties {
			path := append(append([]string(nil), leaf.InstanceLocation...), p)
			out = append(out, positions.finding(file, path, "unknown setting"))
		}
		return out
	}
	return Findings{positions.finding(file, leaf.InstanceLocation, leaf.ErrorKind.LocalizedString(l.printer))}
}

// merge copies the values of src to dst. Tables that both have are merged recursively.
func merge(dst, src map[string]any) {
	for k, v := range src {
		sub, ok := v.(map[string]any)
		old, isTable := dst[k].(map[string]any)
		if ok && isTable {
			merge(old, sub)
			continue
		}
		dst[k] = v
	}
}

func syntaxFindings(file string, err error) error {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Findings{{File: file, Message: err.Error()}}
	}
	line, col := d.Position()
	return Findings{{File: file, Line: line, Column: col, Message: d.Error()}}
}
