package header

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// statusLine matches a status line (RFC 9112, section 4).
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)

// ErrInvalidHead is the class of heads of responses that net/http reads although they are invalid.
var ErrInvalidHead = errs.Class("head of the response is invalid")

// CheckResponse returns an error of the class ErrInvalidHead if the bytes that net/http read are no response: the status is
// below 100 (RFC 9110, section 15), the reason has the status line of another response, or a field is invalid as CheckFields
// says.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || statusLine.MatchString(resp.Status) {
		return ErrInvalidHead.New("status %q", resp.Status)
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error of the class ErrInvalidHead if the name of a field is no token (RFC 9110, section 5.1), if it is
// not certain whether a line is a field that tells the end of the body, or if a field has the status line of another response.
// net/http keeps names with spaces, and does not apply the fields. A head that broke off within a field goes on with the head
// that follows: the status is that of the first response, and the body that of the second.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrInvalidHead.New("field name %q", name)
		}
		switch {
		case slices.ContainsFunc(values, hasFoldedFraming):
			return ErrInvalidHead.New("folded line in field %q", name)
		case slices.ContainsFunc(values, statusLine.MatchString):
			return ErrInvalidHead.New("status line in field %q", name)
		}
	}
	return nil
}

// HasDelimitedBody reports whether the response's body is delimited by a length or by chunked encoding, and not by the end of
// the connection.
func HasDelimitedBody(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// hasFoldedFraming reports whether a folded line (RFC 9112, section 5.2) reads like a field that tells the end of the body. The
// line is a part of the value before it, but its sender may have meant the field. A value that quotes such a field looks the
// same.
func hasFoldedFraming(value string) bool {
	for {
		name, rest, ok := strings.Cut(value, ":")
		if !ok {
			return false
		}
		name = strings.TrimRight(name, " ")
		name = name[strings.LastIndexByte(name, ' ')+1:]
		if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
			return true
		}
		value = rest
	}
}

// Checked returns what a client of net/http returned. A response that CheckResponse rejects is closed and becomes an error.
func Checked(resp *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return resp, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
