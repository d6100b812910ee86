package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/rules"
)

// organisations publishes a new version of the configuration with an organisation for each key.
func (f *harness) organisations(keys map[access.Key]ident.TenantName) {
	old := f.live.Load()
	cfg := rules.New(old.Config.Version+1, old.Config.Limits)
	for _, p := range []string{"/safe/", "/unsafe/"} {
		r := *old.Config.Find("host.example", p)
		r.Public = p == f.public
		cfg.Add("host.example", &r)
	}
	var list []access.Organisation
	for k, name := range keys {
		list = append(list, access.Organisation{Name: name, Keys: []access.Key{k}})
	}
	var findings []access.Finding
	cfg.Access, findings = access.New(access.Secret{1}, list)
	require.Empty(f.t, findings)
	snap := *old
	snap.Config = cfg
	f.live.Store(&snap)
}

// Guards against calls that are served without a valid key, and against a key or a name given by the caller that reaches
// a server.
func TestKeyIsNeeded(t *testing.T) {
	tests := []struct {
		name, path, key string
		status          int
		organisation    string
		err             string
	}{
		{name: "key", path: "/unsafe/", key: "k1", status: 200, organisation: "one"},
		{name: "no key", path: "/unsafe/", status: 401, err: "request has no key"},
		{name: "unknown key", path: "/unsafe/", key: "k3", status: 401, err: "key belongs to no organisation"},
		{name: "public, key", path: "/safe/", key: "k2", status: 200, organisation: "two"},
		{name: "public, unknown key", path: "/safe/", key: "k3", status: 200},
		{name: "public, no key", path: "/safe/", status: 200},
		{name: "no route", path: "/other/", status: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, "s1", respond(http.StatusOK, "ok"))
			f := newHarness(t, b)
			f.organisations(map[access.Key]ident.TenantName{"k1": "one", "k2": "two"})
			r := f.request(http.MethodGet, tt.path, nil)
			r.Header.Set(fieldOrganisation, "forged")
			if tt.key != "" {
				r.Header.Set(fieldKey, tt.key)
			}
			status, _, _ := f.do(r)
			require.Equal(t, tt.status, status)
			if tt.status != http.StatusOK {
				require.Zero(t, b.count())
				if tt.err != "" {
					require.Equal(t, "unauthorized", f.cause())
					require.Equal(t, tt.err, f.recorder.failures[0]["error"])
				}
				return
			}
			got, _ := b.call(0)
			require.Empty(t, got.Header.Values(fieldKey))
			require.Equal(t, tt.organisation, strings.Join(got.Header.Values(fieldOrganisation), ","))
		})
	}
}

// Guards against fields that are examined or changed where the configuration has no organisations.
func TestFieldsAreForwardedWithoutOrganisations(t *testing.T) {
	b := newBackend(t, "s1", respond(http.StatusOK, "ok"))
	f := newHarness(t, b)
	r := f.request(http.MethodGet, "/unsafe/", nil)
	r.Header.Set(fieldKey, "k1")
	r.Header.Set(fieldOrganisation, "own")
	status, _, _ := f.do(r)
	require.Equal(t, http.StatusOK, status)
	got, _ := b.call(0)
	require.Equal(t, "k1", got.Header.Get(fieldKey))
	require.Equal(t, "own", got.Header.Get(fieldOrganisation))
}

// Guards against an instance without a configuration that rejects keys which it cannot know.
func TestKeyIsNotJudgedWithoutConfig(t *testing.T) {
	f := newHarness(t)
	f.snap.Ready, f.snap.Config = false, nil
	status, _, _ := f.do(f.request(http.MethodGet, "/unsafe/", nil))
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against a caller without a key that makes the instance read or wait for its body, and against the rest of that
// body being taken for a request.
func TestUnauthorizedBodyIsNotRead(t *testing.T) {
	f := newHarness(t, newBackend(t, "s1", respond(http.StatusOK, "ok")))
	f.organisations(map[access.Key]ident.TenantName{"k1": "one"})
	f.timeout = time.Minute
	for name, framing := range map[string]string{
		"length": "Content-Length: 100\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"100-continue": "Expect: 100-continue\r\nContent-Length: 100\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", f.srv.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			require.NoError(t, nc.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(nc, "POST /unsafe/ HTTP/1.1\r\nHost: host.example\r\n"+fieldRequest+": r\r\n"+fieldTimeout+": 60000\r\n"+framing)
			require.NoError(t, err)
			br := bufio.NewReader(nc)
			resp, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
			require.True(t, resp.Close)
			_, err = br.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against a revoked key that stays valid on a connection on which it was accepted before.
func TestRevokedKeyOnPersistentConnection(t *testing.T) {
	b := newBackend(t, "s1", respond(http.StatusOK, "ok"))
	f := newHarness(t, b)
	f.organisations(map[access.Key]ident.TenantName{"old": "one", "new": "two"})
	nc, err := net.Dial("tcp", f.srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	call := func(key string) int {
		_, err := io.WriteString(nc, "GET /unsafe/ HTTP/1.1\r\nHost: host.example\r\n"+fieldRequest+": r\r\n"+fieldTimeout+": 400\r\n"+fieldKey+": "+key+"\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, call("old"))
	f.organisations(map[access.Key]ident.TenantName{"new": "one"})
	require.Equal(t, http.StatusUnauthorized, call("old"))
	require.Equal(t, http.StatusOK, call("new"))
	require.Equal(t, 2, b.count())
}

// Guards against a revoked key that stays valid for a call which the caller had sent before the revocation, behind another
// one on the same connection.
func TestRevokedKeyOfPipelinedCall(t *testing.T) {
	var f *harness
	b := newBackend(t, "s1", func(w io.Writer, r *http.Request, body []byte) bool {
		f.organisations(map[access.Key]ident.TenantName{"new": "one"})
		return respond(http.StatusOK, "ok")(w, r, body)
	})
	f = newHarness(t, b)
	f.setTimeout(10 * time.Second)
	f.organisations(map[access.Key]ident.TenantName{"old": "one"})
	nc, err := net.Dial("tcp", f.srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	call := "GET /unsafe/ HTTP/1.1\r\nHost: host.example\r\n" + fieldRequest + ": r\r\n" + fieldTimeout + ": 10000\r\n" + fieldKey + ": old\r\n\r\n"
	_, err = io.WriteString(nc, call+call)
	require.NoError(t, err)
	br := bufio.NewReader(nc)
	for _, want := range []int{http.StatusOK, http.StatusUnauthorized} {
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, want, resp.StatusCode)
	}
	require.Equal(t, 1, b.count())
}

// checkedBackend runs the function before each reply to a status check, and then counts calls as a backend does.
func checkedBackend(t *testing.T, before func()) *backend {
	b := &backend{id: "s1", load: "0,0,4,100", replies: []reply{respond(http.StatusOK, "ok")}, closed: make(chan struct{}, 16)}
	b.listen(t, func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path != "/health" {
				body, _ := io.ReadAll(r.Body)
				b.nextReply(r, body)(nc, r, body)
				continue
			}
			before()
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+fieldServer+": s1\r\n"+fieldLoad+": 0,0,4,100\r\nContent-Length: 0\r\n\r\n")
		}
	})
	return b
}

// Guards against a call that is sent although its key was revoked while it waited for a server, or that is sent with the
// name of an organisation which the key no longer belongs to.
func TestWaitingCallChecksItsKeyAgain(t *testing.T) {
	tests := []struct {
		name         string
		before       map[access.Key]ident.TenantName
		after        map[access.Key]ident.TenantName
		status       int
		organisation string
	}{
		{name: "revoked", before: map[access.Key]ident.TenantName{"k": "one"}, after: map[access.Key]ident.TenantName{"x": "one"}, status: 401},
		{name: "kept", before: map[access.Key]ident.TenantName{"k": "one"}, after: map[access.Key]ident.TenantName{"k": "one", "x": "two"}, status: 200, organisation: "one"},
		{name: "moved", before: map[access.Key]ident.TenantName{"k": "one"}, after: map[access.Key]ident.TenantName{"k": "two"}, status: 200, organisation: "two"},
		{name: "first organisations", after: map[access.Key]ident.TenantName{"x": "one"}, status: 401},
		{name: "first organisations, known", after: map[access.Key]ident.TenantName{"k": "one"}, status: 200, organisation: "one"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f *harness
			b := checkedBackend(t, func() { f.organisations(tt.after) })
			f = newHarness(t, b)
			f.setTimeout(10 * time.Second)
			if tt.before != nil {
				f.organisations(tt.before)
			}
			r := f.request(http.MethodGet, "/unsafe/", nil)
			r.Header.Set(fieldKey, "k")
			status, _, _ := f.do(r)
			require.Equal(t, tt.status, status)
			if tt.status != http.StatusOK {
				require.Zero(t, b.count())
				require.Equal(t, "unauthorized", f.cause())
				return
			}
			got, _ := b.call(0)
			require.Equal(t, tt.organisation, got.Header.Get(fieldOrganisation))
			require.Empty(t, got.Header.Get(fieldKey))
		})
	}
}

// Guards against a second try of a call whose key was revoked during the first one, and against a statement that a call
// was not executed although its first try may have been.
func TestKeyIsCheckedBeforeEachTry(t *testing.T) {
	for name, tt := range map[string]struct {
		first  reply
		status int
	}{
		"not executed": {first: shed(), status: http.StatusUnauthorized},
		"unknown":      {first: raw(""), status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var f *harness
			first := func(w io.Writer, r *http.Request, body []byte) bool {
				f.organisations(map[access.Key]ident.TenantName{"x": "one"})
				return tt.first(w, r, body)
			}
			b1, b2 := newBackend(t, "s1", first), newBackend(t, "s2", first)
			f = newHarness(t, b1, b2)
			f.setTimeout(10 * time.Second)
			f.public = ""
			f.organisations(map[access.Key]ident.TenantName{"k": "one"})
			r := f.request(http.MethodGet, "/safe/", nil)
			r.Header.Set(fieldKey, "k")
			status, _, _ := f.do(r)
			require.Equal(t, tt.status, status)
			require.Equal(t, 1, b1.count()+b2.count())
		})
	}
}

// Guards against calls of less urgent organisations that wait as long as others.
func TestUrgentOrganisationWaitsLonger(t *testing.T) {
	urgent := access.Priority(0)
	low := access.Priority(1)
	waited := func(o access.Organisation) time.Duration {
		b := newBackend(t, "s1", respond(http.StatusOK, "ok"))
		b.load = "4,0,4,100"
		f := newHarness(t, b)
		f.setTimeout(10 * time.Second)
		f.snap.Config.Find("host.example", "/unsafe/").TargetLatency = 3 * time.Second
		registry, findings := access.New(access.Secret{1}, []access.Organisation{o, {Name: "other", Priority: &low}})
		require.Empty(t, findings)
		f.snap.Config.Access = registry
		r := f.request(http.MethodGet, "/unsafe/", nil)
		r.Header.Set(fieldKey, "k")
		start := time.Now()
		status, _, _ := f.do(r)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "crowded", f.cause())
		return time.Since(start)
	}
	require.GreaterOrEqual(t, waited(access.Organisation{Name: "a", Keys: []access.Key{"k"}, Priority: &urgent}), 1150*time.Millisecond)
	require.Less(t, waited(access.Organisation{Name: "a", Keys: []access.Key{"k"}}), 1150*time.Millisecond)
}

// Guards against calls that were passed on and get no response, because a call before them on their connection has a body and no
// valid key.
func TestUnauthorizedBodyIsFollowedByCalls(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, "s1", holdFirst(release))
	f := newHarness(t, b)
	f.setTimeout(20 * time.Second)
	f.public = ""
	f.organisations(map[access.Key]ident.TenantName{"k1": "one"})
	p := newPipeline(f)
	call := func(method, path, key, body string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: host.example\r\n" + fieldRequest + ": r\r\n" + fieldTimeout + ": 20000\r\n" +
			fieldKey + ": " + key + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	_, err := io.WriteString(p, call("GET", "/safe/first", "k1", "")+call("POST", "/safe/1", "none", "x")+call("GET", "/safe/2", "k1", ""))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.count() == 2 }, 10*time.Second, time.Millisecond)
	close(release)
	for _, want := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusOK} {
		resp, _ := p.next()
		require.Equal(t, want, resp.StatusCode)
	}
}
