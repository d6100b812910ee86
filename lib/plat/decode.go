package plat

import (
	"bytes"
	"encoding/json"
	"errors"
	"path"
	"reflect"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/conf"
	"goldcreststand.example/schema"
	"goldcreststand.example/schema/wire"
)

// messagesURL identifies the message schema in the JSON Schema compiler.
const messagesURL = "messages.json"

// maxReportedErrors limits the validation errors that one error message lists.
const maxReportedErrors = 5

// decode decodes and validates the value at the path p into v, and checks that it belongs to the object
// of that path. The returned error gives the position of each invalid part.
func decode(p string, b []byte, v any) error {
	if len(b) > MaxValueBytes {
		return ErrInvalid.New("%s: value has more than %d bytes", p, MaxValueBytes)
	}
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(b, &raw), &syntax) {
		return ErrInvalid.New("%s: byte %d: %w", p, syntax.Offset, syntax)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return ErrInvalid.New("%s: %w", p, err)
	}
	// The generated types do not check ranges of named types. The schema does, and it reports every invalid part.
	if s := schemas()[reflect.TypeOf(v).Elem().Name()]; s != nil {
		if err := s.Validate(doc); err != nil {
			return ErrInvalid.New("%s: %s", p, validationErrors(err))
		}
	}
	if err := json.Unmarshal(b, v); err != nil {
		return ErrInvalid.New("%s: %w", p, err)
	}
	return checkContent(p, v)
}

// checkContent checks constraints that the schema cannot express.
func checkContent(p string, v any) error {
	name := ident.ServiceName(path.Base(p))
	switch v := v.(type) {
	case *wire.Table:
		if v.Service != name {
			return ErrInvalid.New("%s: /service: table belongs to %s", p, v.Service)
		}
		if fs := table.Check(name, v.Core().Rows); len(fs) > 0 {
			return ErrInvalid.New("%s: /rows/%d: %s", p, fs[0].Row, fs[0].Message)
		}
	case *wire.Listing:
		if v.Service != name {
			return ErrInvalid.New("%s: /service: list belongs to %s", p, v.Service)
		}
		indexByID := make(map[ident.ServerID]int, len(v.Servers))
		for i, s := range v.Servers {
			if j, ok := indexByID[s.ID]; ok {
				return ErrInvalid.New("%s: /servers/%d/id: %s is already listed at /servers/%d", p, i, s.ID, j)
			}
			indexByID[s.ID] = i
		}
	}
	return nil
}

// schemas returns the compiled schemas of the platform's values by type name.
var schemas = sync.OnceValue(func() map[string]*jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema.Messages))
	if err != nil {
		return nil
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(messagesURL, doc); err != nil {
		return nil
	}
	out := make(map[string]*jsonschema.Schema)
	for _, n := range []string{"Table", "Status", "Listing", "Keys"} {
		if s, err := c.Compile(messagesURL + "#/$defs/" + n); err == nil {
			out[n] = s
		}
	}
	return out
})

// validationErrors returns the JSON pointer (RFC 6901) and the reason of each invalid part of the value.
func validationErrors(err error) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	p := message.NewPrinter(language.English)
	var out []string
	for _, l := range conf.Leaves(invalid) {
		out = append(out, "/"+strings.Join(l.InstanceLocation, "/")+": "+l.ErrorKind.LocalizedString(p))
	}
	return strings.Join(out[:min(maxReportedErrors, len(out))], "; ")
}
