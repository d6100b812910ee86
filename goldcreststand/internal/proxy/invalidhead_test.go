package proxy_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireNoResponse requires that callers get no response whose head is the text, and that one call is sent once.
func requireNoResponse(t *testing.T, text string) {
	b := &breakOff{text: text, calls: make(map[string]int)}
	s := newBrokenOffInstance(t, b)
	path := "/x/" + strconv.Itoa(len(text))
	got := request(s, http.MethodPost, path, nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Contains(t, got.proxy, unknown)
	require.Equal(t, 1, b.sends(path))
}

// Guards against a response with a status below 100 that ends the caller's connection without a response, because callers
// cannot be sent such a status.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20"} {
		t.Run(status, func(t *testing.T) {
			requireNoResponse(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}
