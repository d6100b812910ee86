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

// Guards against a field whose name has a blank or a control byte that reaches the caller, or that net/http does not apply
// although it tells the end of the body.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	for name, fields := range map[string]string{
		"space":              "X Y: z\r\n" + length + "\r\nok",
		"space before colon": "X : z\r\n" + length + "\r\nok",
		"tab":                "X\tY: z\r\n" + length + "\r\nok",
		"control byte":       "X\x01Y: z\r\n" + length + "\r\nok",
		"null":               "X\x00: z\r\n" + length + "\r\nok",
		"length":             "Content Length: 2\r\n\r\nok and more",
		"length and chunks":  "Content-Length : 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks and length":  "X: y\r\n Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			requireNoResponse(t, "HTTP/1.1 200 OK\r\n"+fields)
		})
	}
}

// Guards against a trailer with such a name that reaches the caller behind a response that looks complete.
func TestInvalidTrailerNameDoesNotLookComplete(t *testing.T) {
	for _, trailer := range []string{"X Y: z", "X : z", "X\tY: z", "X\x01: z"} {
		t.Run(trailer, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n\r\n"
			b := &breakOff{text: text, calls: make(map[string]int)}
			got := request(newBrokenOffInstance(t, b), http.MethodPost, "/x/"+strconv.Itoa(len(text)), nil)
			require.True(t, got.err != nil || got.status == http.StatusBadGateway, "%+v", got)
		})
	}
}

// Guards against a head that breaks off and is followed by another response: callers would get the status of the first and the
// body of the second.
func TestHeadsOfTwoResponsesAreNoResponse(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 3\r\n\r\n"
	const second = "HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad"
	for n := 1; n < len(first); n++ {
		requireNoResponse(t, first[:n]+second)
	}
}
