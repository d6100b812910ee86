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

// messagesURL is the name under which the schema of the messages is compiled.
const messagesURL = "messages.json"

// maxPlaces bounds the places that one error names.
const maxPlaces = 5

// decode reads the value of the path into v and checks that it is about the object of the path. The
// error names the places of what is not valid.
func decode(p string, b []byte, v any) error {
	if len(b) > MaxValue {
		return ErrInvalid.New("%s: value has more than %d bytes", p, MaxValue)
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
	// The generated types do not check the ranges of named types; the schema does, and tells all places.
	if s := schemas()[reflect.TypeOf(v).Elem().Name()]; s != nil {
		if err := s.Validate(doc); err != nil {
			return ErrInvalid.New("%s: %s", p, places(err))
		}
	}
	if err := json.Unmarshal(b, v); err != nil {
		return ErrInvalid.New("%s: %w", p, err)
	}
	return checkSubject(p, v)
}

// checkSubject checks what the schema cannot express.
func checkSubject(p string, v any) error {
	name := ident.ServiceName(path.Base(p))
	switch v := v.(type) {
	case *wire.Table:
		if v.Service != name {
			return ErrInvalid.New("%s: /service: table is about %s", p, v.Service)
		}
		if fs := table.Check(name, v.Core().Rows); len(fs) > 0 {
			return ErrInvalid.New("%s: /rows/%d: %s", p, fs[0].Row, fs[0].Message)
		}
	case *wire.Listing:
		if v.Service != name {
			return ErrInvalid.New("%s: /service: list is about %s", p, v.Service)
		}
		first := make(map[ident.ServerID]int, len(v.Servers))
		for i, s := range v.Servers {
			if j, ok := first[s.ID]; ok {
				return ErrInvalid.New("%s: /servers/%d/id: %s stands at /servers/%d already", p, i, s.ID, j)
			}
			first[s.ID] = i
		}
	}
	return nil
}

// schemas compiles the schemas of the platform's values once, by the name of their type.
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

// places returns the JSON pointers (RFC 6901) of what is not valid, with the reasons.
func places(err error) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	p := message.NewPrinter(language.English)
	var out []string
	for _, l := range conf.Leaves(invalid) {
		out = append(out, "/"+strings.Join(l.InstanceLocation, "/")+": "+l.ErrorKind.LocalizedString(p))
	}
	return strings.Join(out[:min(maxPlaces, len(out))], "; ")
}
