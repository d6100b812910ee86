package crowd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// answerSize is the size of the fake backend server's response to a call.
const answerSize = 8 << 10

// workField is the header field with the time in milliseconds that the backend server works on a call.
const workField = "X-Work-Ms"

// fakeBackend is a backend server that works on calls and records the ids of the calls that reach it.
type fakeBackend struct {
	srv  *httptest.Server
	seen sync.Map
	// answered holds the times at which the calls were answered.
	answered sync.Map
}

func newFakeBackend(t *testing.T, id string, slots int) *fakeBackend {
	body, load, b := strings.Repeat("a", answerSize), fmt.Sprintf("0,0,%d,100", slots), new(fakeBackend)
	b.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h["Date"] = nil
		h.Set("X-Goldcreststand-Server-Load", load)
		if r.URL.Path == "/health" {
			h.Set("X-Goldcreststand-Instance-Id", id)
			return
		}
		request := r.Header.Get("X-Goldcreststand-Request-Id")
		b.seen.Store(request, true)
		_, _ = io.Copy(io.Discard, r.Body)
		if ms, _ := strconv.Atoi(r.Header.Get(workField)); ms > 0 {
			time.Sleep(time.Duration(ms) * time.Millisecond)
		}
		b.answered.Store(request, time.Now())
		h.Set("X-Goldcreststand-Request-Id", request)
		h.Set("X-Goldcreststand-Response-Signature", "sig")
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(b.srv.Close)
	return b
}

func (b *fakeBackend) address() netip.AddrPort {
	return netip.MustParseAddrPort(b.srv.Listener.Addr().String())
}

// hasSeen reports whether the call reached the server.
func (b *fakeBackend) hasSeen(id string) bool {
	_, ok := b.seen.Load(id)
	return ok
}

// answeredAt returns the time at which the server answered the call, or zero.
func (b *fakeBackend) answeredAt(id string) time.Time {
	at, _ := b.answered.Load(id)
	out, _ := at.(time.Time)
	return out
}
