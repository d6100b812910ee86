package conf

import "github.com/santhosh-tekuri/jsonschema/v6"

// Leaves returns the leaf errors below e, one for each invalid part of the validated value.
func Leaves(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var out []*jsonschema.ValidationError
	for _, c := range e.Causes {
		out = append(out, Leaves(c)...)
	}
	return out
}
