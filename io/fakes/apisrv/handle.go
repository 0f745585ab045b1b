package apisrv

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"radishwell/core"
	"radishwell/io/fakes/httpd"
)

// maxBody is the maximum size of an object in bytes.
const maxBody = 1 << 20

type realClock struct{}

// Now implements core.Clock.
func (realClock) Now() time.Time { return time.Now() }

// handle registers the handler of a verb. Calls are counted, and faults and authentication
// are applied, before it runs.
func (s *Server) handle(pattern, verb string, serve http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		watch := verb == "list" && r.URL.Query().Get("watch") == "true"
		if watch {
			s.switches.count("watch")
		} else {
			s.switches.count(verb)
		}
		if s.fail(w, r) {
			return
		}
		if s.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.Token {
			writeStatus(w, http.StatusUnauthorized, "Unauthorized", "unknown bearer token")
			return
		}
		if watch {
			s.serveWatch(w, r)
			return
		}
		serve(w, r)
	})
}

// fail injects the faults that act before a call takes effect. It reports whether the
// call has ended.
func (s *Server) fail(w http.ResponseWriter, r *http.Request) bool {
	f, _ := s.switches.current()
	if f.Delay > 0 || f.Down == Hanging {
		bufferBody(r)
	}
	if f.Delay > 0 {
		timer := time.NewTimer(time.Duration(f.Delay))
		defer timer.Stop()
		select {
		case <-r.Context().Done():
			return true
		case <-timer.C:
		}
	}
	f, _ = s.switches.current()
	switch f.Down {
	case Refusing:
		panic(http.ErrAbortHandler)
	case Failing:
		writeStatus(w, http.StatusServiceUnavailable, "ServiceUnavailable", "the store is down")
		return true
	case Hanging:
		s.hang(r)
	}
	return false
}

// bufferBody reads the whole body into memory. The HTTP server notices that a client has
// disconnected only after the body has been read. Otherwise a call that waits because of a
// fault would keep its connection forever.
func bufferBody(r *http.Request) {
	data, _ := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	r.Body = io.NopCloser(bytes.NewReader(data))
}

// hang waits until the client disconnects or the fault ends, then drops the connection.
func (s *Server) hang(r *http.Request) {
	for {
		f, changed := s.switches.current()
		if f.Down != Hanging {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-changed:
		}
	}
}

func pathOf(r *http.Request) (core.Kind, string) {
	return core.Kind(r.PathValue("kind")), r.PathValue("name")
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	kind, _ := pathOf(r)
	l := s.store.list(kind, s.Clock.Now())
	body := listJSON{
		APIVersion: apiVersion,
		Kind:       "List",
		Metadata:   metaJSON{ResourceVersion: versionText(l.Version)},
		Items:      make([]objectJSON, 0, len(l.Objects)),
	}
	for _, o := range l.Objects {
		body.Items = append(body.Items, toJSON(o))
	}
	httpd.WriteJSON(w, http.StatusOK, body)
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	kind, name := pathOf(r)
	o, err := s.store.get(kind, name, s.Clock.Now())
	s.answer(w, http.StatusOK, o, err)
}

func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	o, err := s.store.create(o, s.Clock.Now())
	s.answerWrite(w, http.StatusCreated, o, err)
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request) { s.update(w, r, false) }

func (s *Server) serveUpdateStatus(w http.ResponseWriter, r *http.Request) { s.update(w, r, true) }

func (s *Server) update(w http.ResponseWriter, r *http.Request, status bool) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	o, err := s.store.update(o, status, s.Clock.Now())
	s.answerWrite(w, http.StatusOK, o, err)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	kind, name := pathOf(r)
	var options deleteJSON
	if err := json.NewDecoder(r.Body).Decode(&options); err != nil && !errors.Is(err, io.EOF) {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	version, err := parseVersion(options.Preconditions.ResourceVersion)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	o, err := s.store.remove(kind, name, options.Preconditions.UID, version, s.Clock.Now())
	s.answerWrite(w, http.StatusOK, o, err)
}

// readObject decodes and checks the object in the body of a request. If it is invalid,
// readObject answers the call and returns false.
func readObject(w http.ResponseWriter, r *http.Request) (core.Object, bool) {
	kind, name := pathOf(r)
	var body objectJSON
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeStatus(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "larger than a megabyte")
		return core.Object{}, false
	}
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return core.Object{}, false
	}
	version, err := parseVersion(body.Metadata.ResourceVersion)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return core.Object{}, false
	}
	if body.Metadata.Name == "" || name != "" && name != body.Metadata.Name {
		writeStatus(w, http.StatusUnprocessableEntity, "Invalid", "metadata.name is missing or not the path's")
		return core.Object{}, false
	}
	return core.Object{
		Kind:    kind,
		Name:    body.Metadata.Name,
		UID:     body.Metadata.UID,
		Version: version,
		Spec:    body.Spec,
		Status:  body.Status,
	}, true
}

// answerWrite answers a call that changes an object, unless a fault requires that the
// answer is lost.
func (s *Server) answerWrite(w http.ResponseWriter, code int, o core.Object, err error) {
	if err == nil && s.switches.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, code, o, err)
}

func (s *Server) answer(w http.ResponseWriter, code int, o core.Object, err error) {
	var failed *core.PlatformError
	if !errors.As(err, &failed) {
		httpd.WriteJSON(w, code, toJSON(o))
		return
	}
	switch failed.Fault {
	case core.NotFound:
		writeStatus(w, http.StatusNotFound, "NotFound", err.Error())
	case core.Exists:
		writeStatus(w, http.StatusConflict, "AlreadyExists", err.Error())
	case core.Conflict:
		writeStatus(w, http.StatusConflict, "Conflict", err.Error())
	default:
		writeStatus(w, http.StatusInternalServerError, "InternalError", err.Error())
	}
}
