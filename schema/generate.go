// Package schema embeds the JSON Schemas of the messages and settings. The Go types in the packages wire
// and config are generated from them.
package schema

import _ "embed"

//go:generate ../bin/go-jsonschema -p wire --tags json --capitalization ID,URL -o wire/wire_gen.go messages.json
// The generated check for required fields decodes into json.RawMessage, so that field values are decoded only once.
//go:generate sed -i "s/var raw map.string.interface{}/var raw map[string]json.RawMessage/" wire/wire_gen.go
//go:generate ../bin/go-jsonschema -p config --tags json --capitalization ID,URL -t -o config/config_gen.go settings.json

// Settings is the JSON Schema of the settings of an instance.
//
//go:embed settings.json
var Settings []byte

// Messages is the JSON Schema of all messages and platform objects.
//
//go:embed messages.json
var Messages []byte
