// Package header decodes standard header fields that the standard library leaves as text.
package header

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
)

// RetryAfter returns the pause that a response's Retry-After field asks for, at most notice.MaxPause, or 0 if the field is
// missing or invalid. The field holds seconds, which may have a fraction, or a date. A date is compared with the
// response's own Date field, because the clocks of the server and of this instance may differ.
func RetryAfter(h http.Header) time.Duration {
	v := strings.TrimSpace(h.Get("Retry-After"))
	if v == "" {
		return 0
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return pauseUntil(v, h.Get("Date"))
	}
	return min(ident.DurationOf(s, time.Second), notice.MaxPause)
}

// pauseUntil returns the time from the date of a response until the date at which its server may be called again.
func pauseUntil(at, sent string) time.Duration {
	until, err := http.ParseTime(at)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(sent)
	if err != nil {
		return 0
	}
	return min(max(0, until.Sub(from)), notice.MaxPause)
}
