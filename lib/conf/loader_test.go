package conf_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/conf"
)

const testSchema = `{
  "type": "object", "additionalProperties": false, "required": ["name", "log"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z]+$"},
    "log": {"type": "object", "additionalProperties": false, "required": ["level"],
      "properties": {"level": {"type": "string", "enum": ["info", "warn"]}}}
  }
}`

type testSettings struct {
	Name string `json:"name"`
	Log  struct {
		Level string `json:"level"`
	} `json:"log"`
}

// Guards against a loader that stops at the first finding or reports findings without a position.
func TestLoaderReportsAllFindings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{name: "valid", text: "name = \"a\"\n"},
		{name: "syntax", text: "name = \n", want: []string{"f:1:8: "}},
		{
			name: "several",
			text: "name = \"A\"\ncolor = 1\n[log]\n level = \"loud\"\n",
			want: []string{"f:1:1: name: ", "f:2:1: color: unknown setting", "f:4:2: log.level: "},
		},
	}
	l, err := conf.NewLoader([]byte(testSchema), []byte("[log]\nlevel = \"info\"\n"))
	require.NoError(t, err)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s testSettings
			err := l.Load("f", []byte(tt.text), &s)
			if tt.want == nil {
				require.NoError(t, err)
				require.Equal(t, "info", s.Log.Level)
				return
			}
			var found conf.Findings
			require.ErrorAs(t, err, &found)
			require.Len(t, found, len(tt.want))
			for i, w := range tt.want {
				require.Contains(t, found[i].String(), w)
			}
		})
	}
}
