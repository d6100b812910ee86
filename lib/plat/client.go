// Package plat is a client of the platform's object store and server lists. It uses HTTP with
// entity tags and conditional requests (RFC 9110), and "Prefer: wait" (RFC 7240) for long polling.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/lib/header"
	"goldcreststand.example/schema/wire"
)

// MaxValueBytes is the maximum size of an object's value in bytes.
const MaxValueBytes = 1 << 20

// maxHeaderBytes limits the size of a response's header; net/http would read up to 10 MB.
const maxHeaderBytes = 64 << 10

// Collections of the object store.
const (
	CollectionTables          = "tables"
	CollectionRolloutStatuses = "moves"
)

// Tag is the entity tag of one version of an object. It is empty if the object does not exist.
type Tag string

// Client calls the HTTP interface of the platform.
type Client struct {
	base    string
	hc      *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(hc *http.Client) Option { return func(c *Client) { c.hc = hc } }

// New returns a client of the platform at the base URL. The timeout applies to each call; a watch may
// take its wait in addition.
func New(base string, timeout time.Duration, opts ...Option) *Client {
	c := &Client{base: base, hc: &http.Client{Transport: newTransport()}, timeout: timeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// newTransport returns a transport with enough idle connections for all watches of an instance.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 64
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return t
}

// Get reads the value at the path into v and returns its tag.
func (c *Client) Get(ctx context.Context, path string, v any) (Tag, error) {
	tag, _, err := c.read(ctx, path, "", 0, v)
	return tag, err
}

// List returns the names of the objects in the collection and the tag of the list.
func (c *Client) List(ctx context.Context, collection string) ([]string, Tag, error) {
	var k wire.Keys
	tag, err := c.Get(ctx, ListPath(collection), &k)
	return k.Names, tag, err
}

// ServerList returns the list of the service's backend servers and its tag.
func (c *Client) ServerList(ctx context.Context, service ident.ServiceName) (*wire.Listing, Tag, error) {
	l := new(wire.Listing)
	tag, err := c.Get(ctx, ServerListPath(string(service)), l)
	if err != nil {
		return nil, "", err
	}
	return l, tag, nil
}

// Watch waits until the value at the path no longer has the tag, at most for wait. It reports whether
// the value changed. If so, it reads the new value into v and returns its tag.
func (c *Client) Watch(ctx context.Context, path string, tag Tag, wait time.Duration, v any) (Tag, bool, error) {
	return c.read(ctx, path, tag, wait, v)
}

// Put writes the value if the object still has the tag, and returns the new tag. It does not retry;
// Writer.Write also resolves unknown outcomes.
func (c *Client) Put(ctx context.Context, path string, tag Tag, v any) (Tag, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return "", ErrInvalid.New("%s: %w", path, err)
	}
	if len(b) > MaxValueBytes {
		return "", ErrInvalid.New("%s: value has %d bytes, at most %d are allowed", path, len(b), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+path, bytes.NewReader(b))
	if err != nil {
		return "", ErrInvalid.New("%s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if tag == "" {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", string(tag))
	}
	resp, err := header.Checked(c.hc.Do(req))
	if err != nil {
		if isDialError(err) {
			return "", ErrUnavailable.Wrap(err)
		}
		return "", ErrUnknownOutcome.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return Tag(resp.Header.Get("ETag")), nil
	case http.StatusPreconditionFailed:
		return "", ErrConflict.New("%s was changed by someone else", path)
	default:
		return "", statusError(path, resp, &ErrUnknownOutcome)
	}
}

func (c *Client) read(ctx context.Context, path string, tag Tag, wait time.Duration, v any) (Tag, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return "", false, ErrInvalid.New("%s: %w", path, err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", string(tag))
	}
	if wait > 0 {
		req.Header.Set("Prefer", fmt.Sprintf("wait=%d", max(1, int(wait/time.Second))))
	}
	resp, err := header.Checked(c.hc.Do(req))
	if err != nil {
		return "", false, ErrUnavailable.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return tag, false, nil
	case http.StatusNotFound:
		return "", false, ErrNotFound.New("%s", path)
	default:
		return "", false, statusError(path, resp, &ErrUnavailable)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return "", false, ErrUnavailable.Wrap(err)
	}
	if err := decode(path, b, v); err != nil {
		return "", false, err
	}
	return Tag(resp.Header.Get("ETag")), true, nil
}

// ObjectPath returns the path of an object.
func ObjectPath(collection, name string) string {
	return "/objects/" + url.PathEscape(collection) + "/" + url.PathEscape(name)
}

// ListPath returns the path of the list of objects in a collection.
func ListPath(collection string) string { return "/objects/" + url.PathEscape(collection) }

// ServerListPath returns the path of the list of a service's backend servers.
func ServerListPath(service string) string { return "/instances/" + url.PathEscape(service) }
