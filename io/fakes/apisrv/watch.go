package apisrv

import (
	"encoding/json"
	"net/http"
	"time"

	"radishwell/core"
)

// bookmarkPeriod is the time between the bookmarks of a watch that requested them. It is
// well below the silence timeout after which clients reconnect.
const bookmarkPeriod = time.Second

// watcher is one running watch.
type watcher struct {
	kind      core.Kind
	from      core.Version
	bookmarks bool
	out       *json.Encoder
	flush     func() error
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	kind, _ := pathOf(r)
	query := r.URL.Query()
	from, err := parseVersion(query.Get("resourceVersion"))
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	run := watcher{
		kind:      kind,
		from:      from,
		bookmarks: query.Get("allowWatchBookmarks") == "true",
		out:       json.NewEncoder(w),
		flush:     http.NewResponseController(w).Flush,
	}
	if run.flush() != nil {
		return
	}
	s.runWatch(r, &run)
}

// runWatch sends changes and bookmarks until the client disconnects, the version is too
// old or the server is down.
func (s *Server) runWatch(r *http.Request, run *watcher) {
	tick := time.NewTicker(bookmarkPeriod)
	defer tick.Stop()
	bookmarkDue := false
	for {
		f, switched := s.switches.current()
		if f.Down != Up && f.Down != Hanging {
			panic(http.ErrAbortHandler)
		}
		stalled := f.StallWatches || f.Down == Hanging
		b := s.store.after(run.kind, run.from, s.Clock.Now())
		if !stalled && run.send(b, bookmarkDue) != nil || b.gone && !stalled {
			return
		}
		bookmarkDue = false
		select {
		case <-r.Context().Done():
			return
		case <-switched:
		case <-b.changed:
		case <-wait(b.due, s.Clock.Now()):
		case <-tick.C:
			bookmarkDue = true
		}
	}
}

// wait returns a channel that is ready at due, or never if due is zero.
func wait(due, now time.Time) <-chan time.Time {
	if due.IsZero() {
		return nil
	}
	return time.After(max(due.Sub(now), time.Millisecond))
}

// send writes a batch, and a bookmark if mark is set and the client requested bookmarks.
func (run *watcher) send(b batch, mark bool) error {
	if b.gone {
		gone := newStatus(http.StatusGone, "Expired", "too old resource version")
		return run.write(eventJSON{Type: "ERROR", Object: gone})
	}
	for _, e := range b.events {
		if err := run.write(eventJSON{Type: eventType(e), Object: toJSON(e.object)}); err != nil {
			return err
		}
	}
	run.from = b.through
	if !mark || !run.bookmarks {
		return nil
	}
	return run.write(eventJSON{Type: "BOOKMARK", Object: objectJSON{
		APIVersion: apiVersion,
		Kind:       run.kind,
		Metadata:   metaJSON{ResourceVersion: versionText(run.from)},
	}})
}

func (run *watcher) write(e eventJSON) error {
	if err := run.out.Encode(e); err != nil {
		return err
	}
	return run.flush()
}

func eventType(e event) string {
	switch {
	case e.object.Deleted:
		return "DELETED"
	case e.created:
		return "ADDED"
	}
	return "MODIFIED"
}
