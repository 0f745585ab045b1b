package apisrv

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

const base = "/apis/" + apiVersion + "/"

type fakeClock struct{ at time.Time }

func (c *fakeClock) Now() time.Time { return c.at }

// api is an HTTP client of a Server.
type api struct {
	t   *testing.T
	srv *Server
	web *httptest.Server
}

func start(t *testing.T, srv *Server) *api {
	t.Helper()
	web := httptest.NewServer(srv)
	t.Cleanup(web.Close)
	t.Cleanup(web.CloseClientConnections)
	return &api{t: t, srv: srv, web: web}
}

// do sends a request, checks the status and, if into isn't nil, decodes the answer.
func (a *api) do(method, path, body string, status int, into any) {
	a.t.Helper()
	req, err := http.NewRequest(method, a.web.URL+path, strings.NewReader(body))
	assert.NilError(a.t, err)
	resp, err := a.web.Client().Do(req)
	assert.NilError(a.t, err)
	defer resp.Body.Close()
	assert.Equal(a.t, resp.StatusCode, status, "%s %s", method, path)
	if into != nil {
		assert.NilError(a.t, json.NewDecoder(resp.Body).Decode(into))
	}
}

func (a *api) object(method, path, body string, status int) objectJSON {
	a.t.Helper()
	var o objectJSON
	a.do(method, path, body, status, &o)
	return o
}

// watch starts a watch and returns a function that reads its next event.
func (a *api) watch(kind, from string) func() (string, metaJSON) {
	a.t.Helper()
	resp, err := a.web.Client().Get(a.web.URL + base + kind + "?watch=true&allowWatchBookmarks=true&resourceVersion=" + from)
	assert.NilError(a.t, err)
	a.t.Cleanup(func() { resp.Body.Close() })
	lines := bufio.NewScanner(resp.Body)
	return func() (string, metaJSON) {
		a.t.Helper()
		assert.Assert(a.t, lines.Scan())
		var e struct {
			Type   string
			Object objectJSON
		}
		assert.NilError(a.t, json.Unmarshal(lines.Bytes(), &e))
		return e.Type, e.Object.Metadata
	}
}

const qalam = `{"metadata":{"name":"qalam"},"spec":{"memory":"1GiB"}}`

func TestVerbs(t *testing.T) {
	a := start(t, &Server{})
	made := a.object("POST", base+"models", qalam, http.StatusCreated)
	assert.Equal(t, made.Metadata.ResourceVersion, "1")
	assert.Equal(t, made.Metadata.Generation, int64(1))

	t.Run("create of a taken name", func(t *testing.T) {
		var s statusJSON
		a.do("POST", base+"models", qalam, http.StatusConflict, &s)
		assert.Equal(t, s.Reason, "AlreadyExists")
	})
	t.Run("update at the version held", func(t *testing.T) {
		body := `{"metadata":{"name":"qalam","resourceVersion":"1"},"spec":{"memory":"2GiB"}}`
		o := a.object("PUT", base+"models/qalam", body, http.StatusOK)
		assert.Equal(t, o.Metadata.ResourceVersion, "2")
		assert.Equal(t, o.Metadata.Generation, int64(2))
	})
	t.Run("update at an older version", func(t *testing.T) {
		body := `{"metadata":{"name":"qalam","resourceVersion":"1"},"spec":{"memory":"3GiB"}}`
		var s statusJSON
		a.do("PUT", base+"models/qalam", body, http.StatusConflict, &s)
		assert.Equal(t, s.Reason, "Conflict")
	})
	t.Run("status leaves the generation", func(t *testing.T) {
		body := `{"metadata":{"name":"qalam","resourceVersion":"2"},"spec":{},"status":{"ok":true}}`
		o := a.object("PUT", base+"models/qalam/status", body, http.StatusOK)
		assert.Equal(t, o.Metadata.Generation, int64(2))
		assert.Equal(t, string(o.Spec), `{"memory":"2GiB"}`)
		assert.Equal(t, string(o.Status), `{"ok":true}`)
	})
	t.Run("delete with a stale precondition", func(t *testing.T) {
		body := `{"preconditions":{"resourceVersion":"2"}}`
		a.do("DELETE", base+"models/qalam", body, http.StatusConflict, nil)
	})
	t.Run("delete and create again", func(t *testing.T) {
		a.do("DELETE", base+"models/qalam", `{"preconditions":{"resourceVersion":"3"}}`, http.StatusOK, nil)
		a.do("GET", base+"models/qalam", "", http.StatusNotFound, nil)
		o := a.object("POST", base+"models", qalam, http.StatusCreated)
		assert.Assert(t, o.Metadata.UID != made.Metadata.UID)
		assert.Equal(t, o.Metadata.ResourceVersion, "5")
	})
	t.Run("list", func(t *testing.T) {
		var l listJSON
		a.do("GET", base+"models", "", http.StatusOK, &l)
		assert.Equal(t, l.Metadata.ResourceVersion, "5")
		assert.Equal(t, len(l.Items), 1)
	})
	t.Run("bad bodies", func(t *testing.T) {
		a.do("POST", base+"models", "{", http.StatusBadRequest, nil)
		a.do("POST", base+"models", "{}", http.StatusUnprocessableEntity, nil)
		large := `{"metadata":{"name":"x"},"spec":"` + strings.Repeat("x", maxBody) + `"}`
		a.do("POST", base+"models", large, http.StatusRequestEntityTooLarge, nil)
	})
}

func TestWatch(t *testing.T) {
	a := start(t, &Server{})
	next := a.watch("models", "0")
	a.object("POST", base+"models", qalam, http.StatusCreated)
	a.object("POST", base+"owners", `{"metadata":{"name":"nadi"}}`, http.StatusCreated)
	a.do("DELETE", base+"models/qalam", "", http.StatusOK, nil)

	for _, want := range []string{"ADDED 1", "DELETED 3", "BOOKMARK 3"} {
		kind, meta := next()
		assert.Equal(t, kind+" "+meta.ResourceVersion, want)
	}
	t.Run("from a compacted version", func(t *testing.T) {
		a.do("PUT", "/faults", `{"compact":true}`, http.StatusOK, nil)
		kind, _ := a.watch("models", "2")()
		assert.Equal(t, kind, "ERROR")
	})
	t.Run("bounded history", func(t *testing.T) {
		s := start(t, &Server{History: 1, Seed: []core.Object{{Kind: "models", Name: "a"}, {Kind: "models", Name: "b"}}})
		kind, _ := s.watch("models", "0")()
		assert.Equal(t, kind, "ERROR")
		kind, _ = s.watch("models", "1")()
		assert.Equal(t, kind, "ADDED")
	})
}

func TestHostLag(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1_000, 0)}
	a := start(t, &Server{Clock: clock})
	a.do("PUT", "/faults", `{"host-lag":"10s"}`, http.StatusOK, nil)
	a.object("POST", base+"hosts", `{"metadata":{"name":"qalam-1"}}`, http.StatusCreated)

	var l listJSON
	a.do("GET", base+"hosts", "", http.StatusOK, &l)
	assert.Equal(t, len(l.Items), 0)
	assert.Equal(t, l.Metadata.ResourceVersion, "0")
	b := a.srv.store.after("hosts", 0, clock.at)
	assert.Equal(t, len(b.events), 0)
	assert.Assert(t, b.due.Equal(clock.at.Add(10*time.Second)))

	clock.at = clock.at.Add(10 * time.Second)
	a.do("GET", base+"hosts", "", http.StatusOK, &l)
	assert.Equal(t, len(l.Items), 1)
	assert.Equal(t, len(a.srv.store.after("hosts", 0, clock.at).events), 1)
}

func TestFaults(t *testing.T) {
	a := start(t, &Server{Token: "sesame"})
	a.do("GET", base+"models", "", http.StatusUnauthorized, nil)
	a.do("PUT", "/faults", `{"down":"unavailable"}`, http.StatusOK, nil)
	a.do("GET", base+"models", "", http.StatusServiceUnavailable, nil)
	a.do("PUT", "/faults", `{"dwon":""}`, http.StatusBadRequest, nil)

	var f Faults
	a.do("GET", "/faults", "", http.StatusOK, &f)
	assert.Equal(t, f, Faults{Down: Failing})
	var calls map[string]int
	a.do("GET", "/calls", "", http.StatusOK, &calls)
	assert.DeepEqual(t, calls, map[string]int{"list": 2})
}

func TestReadSeed(t *testing.T) {
	objects, err := ReadSeed(strings.NewReader("kind: models\nname: qalam\nspec: {memory: 1GiB}\n---\nkind: owners\nname: nadi\nspec: {}\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, objects, []core.Object{
		{Kind: "models", Name: "qalam", Spec: []byte(`{"memory":"1GiB"}`)},
		{Kind: "owners", Name: "nadi", Spec: []byte(`{}`)},
	})
	_, err = ReadSeed(strings.NewReader("kind: models\nnmae: qalam\n"))
	assert.Assert(t, err != nil)
}
