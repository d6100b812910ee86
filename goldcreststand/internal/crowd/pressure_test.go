package crowd

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lowMemory are limits with little memory and enough descriptors for each crowd. With 64 MB a few hundred connections show
// what takes a thousand on a machine of 136 MB.
func lowMemory() limits { return limits{memoryMB: 64, maxFiles: 2870, maxBody: maxBody} }

// fewFiles are limits with few descriptors.
func fewFiles() limits { return limits{memoryMB: 136, maxFiles: 700, maxBody: maxBody} }

// head returns the start of a request without the empty line that ends it.
func head(method, path string, fields ...string) string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Goldcreststand-Request-Id: crowd\r\n", method, path, callHost)
	for _, f := range fields {
		out += f + "\r\n"
	}
	return out
}

// shortFields returns many fields with short names.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s:1\r\n", shortName(i))
	}
	return b.String()
}

// shortName returns a name of a field, a different one for each number.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{'x', letters[i/26/26%26], letters[i/26%26], letters[i%26]})
}

// Guards against heads within the limit of their size whose many fields take far more memory than their bytes. The body
// lacks its last byte, so that the request stays open.
func TestManyFields(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 300, func(path string) client {
		return send(head("POST", path, "Content-Length: 2") + shortFields(2000) + "\r\n1")
	})
}

// Guards against heads that are legal also when they are counted in the form in which they are passed on.
func TestManyFieldsWithinLimit(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 400, func(path string) client {
		return send(head("POST", path, "Content-Length: 2") + shortFields(1750) + "\r\n1")
	})
}

// Guards against requests whose handler has returned and whose body has not ended: net/http keeps the head until then, and the
// heads at several addresses take the memory together.
func TestUnfinishedBodiesAtSeveralAddresses(t *testing.T) {
	p := start(t, lowMemory())
	for _, e := range slices.Backward(httpEntryPoints()) {
		// Less than half of the connections that an address for readiness, lookups or metrics may have. Above it such requests are
		// refused.
		p.gather(e.at(p), 60, send(head("POST", e.path, "Content-Length: 2")+shortFields(2000)+"\r\n1"))
	}
	p.requireWithinLimits()
	p.requireReadyAnswer()
	p.requireOrdinaryCall()
	p.requireWithinLimits()
}

// Guards against connections that keep the memory of the heads of earlier requests while they are idle.
func TestIdleAfterManyFields(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 400, func(path string) client {
		return send(head("GET", path) + shortFields(1750) + "\r\n")
	})
}

// Guards against heads without an end whose fields take the memory before the limit of their size is reached.
func TestHeadsWithoutEnd(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 300, func(path string) client {
		return send(head("GET", path) + shortFields(6000))
	})
}

// Guards against bodies that are too small to count and take the memory by their number. Each lacks its last byte.
func TestBodiesInOnePiece(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 1000, func(path string) client {
		return send(head("POST", path, "Content-Length: 61440") + "\r\n" + strings.Repeat("b", 61439))
	})
}

// Guards against bodies in small pieces that take more memory than bodies in one.
func TestBodiesInPieces(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 900, func(path string) client {
		return sendParts(head("POST", path, "Content-Length: 61440")+"\r\n"+strings.Repeat("b", 61439), 2<<10)
	})
}

// Guards against bodies of unknown length in small chunks, without the last one.
func TestBodiesInChunks(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 600, func(path string) client {
		return send(head("POST", path, "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat("1\r\nb\r\n", 16<<10))
	})
}

// Guards against long bodies within the limit that take the memory together. Each lacks its last byte.
func TestLongBodies(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 150, func(path string) client {
		return send(head("POST", path, "Content-Length: 1048576") + "\r\n" + strings.Repeat("b", 1<<20-1))
	})
}

// Guards against bodies beyond the limit, of known and of unknown length.
func TestBodiesBeyondLimit(t *testing.T) {
	tests := []struct {
		name, field, body string
	}{
		{"known length", "Content-Length: 10737418240", strings.Repeat("b", 2*maxBody)},
		{"chunks", "Transfer-Encoding: chunked", strings.Repeat("10000\r\n"+strings.Repeat("b", 64<<10)+"\r\n", 2*maxBody>>16)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			press(t, lowMemory(), httpEntryPoints(), 40, func(path string) client {
				return send(head("POST", path, tt.field) + "\r\n" + tt.body)
			})
		})
	}
}

// Guards against requests that are read ahead, and answers that are not taken, without a bound.
func TestRequestsAheadWithoutReading(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 200, func(path string) client {
		return send(strings.Repeat(head("GET", path)+"\r\n", 400))
	})
}

// Guards against connections that do nothing and take all descriptors: the instance must still answer its readiness check.
func TestIdleConnections(t *testing.T) {
	pressConnections(t, entryPoints(), "")
}

// Guards against connections that stop half-way in a head, or after a call, and take all descriptors.
func TestStoppedConnections(t *testing.T) {
	tests := []struct{ name, text string }{{"half a head", head("GET", callPath)}, {"between calls", head("GET", otherPath) + "\r\n"}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { pressConnections(t, entryPoints()[:1], tt.text) })
	}
}

// pressConnections tests that more connections than there are descriptors leave enough of them.
func pressConnections(t *testing.T, at []entryPoint, text string) {
	for _, e := range at {
		t.Run(e.name, func(t *testing.T) {
			p := start(t, fewFiles())
			crowd := p.gather(e.at(p), 900, send(text))
			p.requireWithinLimits()
			p.requireReadyAnswer()
			crowd.leave()
			p.requireOrdinaryCall()
			p.requireWithinLimits()
		})
	}
}

// Guards against an instance that cannot end cleanly while callers hold all connections that it accepts.
func TestCleanEndBesideManyConnections(t *testing.T) {
	p := start(t, fewFiles())
	p.gather(p.calls, 900, send(""))
	p.requireCleanEnd()
}

// Guards against an instance whose ordinary callers are not served while connections that do nothing take all of its
// descriptors.
func TestOrdinaryCallBesideManyConnections(t *testing.T) {
	p := start(t, fewFiles())
	p.gather(p.calls, 900, send(head("GET", callPath)))
	p.requireOrdinaryCall()
	p.requireWithinLimits()
}

// Guards against messages between instances that do not end and take the memory by their number.
func TestMessagesWithoutEnd(t *testing.T) {
	press(t, lowMemory(), entryPoints()[5:], 100, func(string) client {
		return send(`{"jsonrpc":"2.0","id":1,"method":"ping","params":"` + strings.Repeat("m", 1900<<10))
	})
}

// Guards against requests of other instances whose answers are not taken.
func TestMessagesWithoutReading(t *testing.T) {
	press(t, lowMemory(), entryPoints()[5:], 200, func(string) client {
		return send(strings.Repeat(`{"jsonrpc":"2.0","id":1,"method":"none","params":{}}`+"\n", 4000))
	})
}

// Guards against crowds that send slowly: each connection sends a byte from time to time until its client stops.
func TestSlowBodies(t *testing.T) {
	press(t, lowMemory(), httpEntryPoints(), 600, func(path string) client {
		return sendSlowly(head("POST", path, "Content-Length: 4096")+"\r\n", 20)
	})
}

// Guards against limits that refuse a single request within those of the users' configurations.
func TestLargestBodyIsServed(t *testing.T) {
	const size = 64 << 20
	p := start(t, limits{memoryMB: 136, maxFiles: 2870, maxBody: size})
	for _, length := range []int64{size, -1} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.calls.String()+callPath, io.LimitReader(zeros{}, size))
		require.NoError(t, err)
		r.Host, r.ContentLength = callHost, length
		r.Header.Set("X-Goldcreststand-Request-Id", "large")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	p.requireWithinLimits()
}

// zeros is an endless stream of zeros.
type zeros struct{}

// Read fills the buffer.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
