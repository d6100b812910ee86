package header_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/header"
)

// Guards against several values of a field, of which one is taken for that of the message.
func TestSingle(t *testing.T) {
	tests := []struct {
		values []string
		want   string
		single bool
	}{
		{},
		{values: []string{""}, single: true},
		{values: []string{"a"}, want: "a", single: true},
		{values: []string{"a", "a"}, want: "a", single: true},
		{values: []string{"a", "b"}, want: "a, b"},
		{values: []string{"a", "b", "a"}, want: "a, b, a"},
		{values: []string{"", "a"}, want: ", a"},
	}
	for _, tt := range tests {
		got, single := header.Single(http.Header{"X": tt.values}, "X")
		require.Equal(t, tt.want, got)
		require.Equal(t, tt.single, single)
	}
}
