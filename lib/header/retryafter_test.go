package header_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/notice"
	"goldcreststand.example/lib/header"
)

// Guards against values of Retry-After that are taken for a pause although they are none, or that have no bound.
func TestRetryAfter(t *testing.T) {
	const date = "Sat, 05 Dec 2026 07:00:00 GMT"
	tests := []struct {
		name, value, date string
		want              time.Duration
	}{
		{name: "missing"},
		{name: "seconds", value: "2", want: 2 * time.Second},
		{name: "fraction", value: " 0.25 ", want: 250 * time.Millisecond},
		{name: "zero", value: "0"},
		{name: "negative", value: "-5"},
		{name: "negative infinity", value: "-Inf"},
		{name: "not a number", value: "NaN"},
		{name: "text", value: "soon"},
		{name: "too long", value: "3600", want: notice.MaxPause},
		{name: "overflow", value: "1e400", want: notice.MaxPause},
		{name: "negative overflow", value: "-1e400"},
		{name: "infinity", value: "Inf", want: notice.MaxPause},
		{name: "date", value: "Sat, 05 Dec 2026 07:00:03 GMT", date: date, want: 3 * time.Second},
		{name: "past date", value: "Sat, 05 Dec 2026 06:00:00 GMT", date: date},
		{name: "distant date", value: "Sat, 05 Dec 2099 07:00:00 GMT", date: date, want: notice.MaxPause},
		{name: "date without the time of the response", value: "Sat, 05 Dec 2026 07:00:03 GMT"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{"Retry-After": {tt.value}, "Date": {tt.date}}
			require.Equal(t, tt.want, header.RetryAfter(h))
		})
	}
}
