package load

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a body that is framed as whole but broke off, or that is the response to another request, and counts as
// complete.
func TestShortBodyIsWrong(t *testing.T) {
	const body = "GET /items/q1 q1 by s3\n"
	resp := &http.Response{StatusCode: http.StatusOK}
	require.Equal(t, VerdictComplete, verdictOfResponse(resp, "GET /items/q1", "q1", body))
	for n := range len(body) {
		require.Equal(t, VerdictWrong, verdictOfResponse(resp, "GET /items/q1", "q1", body[:n]), "%q", body[:n])
	}
	for _, other := range []string{"GET /items/q1 q2 by s3\n", "POST /items/q1 q1 by s3\n", "GET /items/q11 q1 by s3\n", body + body} {
		require.Equal(t, VerdictWrong, verdictOfResponse(resp, "GET /items/q1", "q1", other), "%q", other)
	}
}
