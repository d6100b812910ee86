package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter returns the pause that a response's Retry-After field asks for, at most MaxPause, or 0 if the field is
// missing or invalid. The field holds seconds, which may have a fraction, or a date. A date is compared with the
// response's own Date field, because the clocks of the server and of this instance may differ.
func ParseRetryAfter(h http.Header) time.Duration {
	v := strings.TrimSpace(h.Get("Retry-After"))
	if v == "" {
		return 0
	}
	s, err := strconv.ParseFloat(v, 64)
	switch {
	case err != nil && !math.IsInf(s, 1):
		return pauseUntil(v, h.Get("Date"))
	case s >= MaxPause.Seconds():
		return MaxPause
	case s > 0:
		return time.Duration(s * float64(time.Second))
	default:
		// Zero, a negative number or not a number.
		return 0
	}
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
	return min(max(0, until.Sub(from)), MaxPause)
}
