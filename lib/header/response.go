package header

import (
	"net/http"

	"github.com/zeebo/errs"
)

// ErrInvalidHead is the class of heads of responses that net/http reads although they are invalid.
var ErrInvalidHead = errs.Class("head of the response is invalid")

// CheckResponse returns an error of the class ErrInvalidHead if the bytes that net/http read are no response: the status is
// below 100 (RFC 9110, section 15).
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return ErrInvalidHead.New("status %q", resp.Status)
	}
	return nil
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
