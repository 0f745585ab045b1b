//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

const (
	// recapWorkers is the number of workers whose entries two writers write, and scoreWorkers that of the
	// workers that serve the requests.
	recapWorkers, scoreWorkers = 51, 4
	// heartbeat is the mean time between two writes of one writer of an entry.
	heartbeat = 1200 * time.Millisecond
	// scoreTime is how long a worker works on a request.
	scoreTime = 300 * time.Millisecond
	// scoreClients is the number of clients, and writersEnd when the run ends unless the process has ended.
	scoreClients = 12
	writersEnd   = 60 * time.Second
)

// repeat does something about once a heartbeat until the context ends.
func repeat(ctx context.Context, do func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat - 100*time.Millisecond + rand.N(200*time.Millisecond)):
			do()
		}
	}
}

// scorer is a sound worker of a plain service.
type scorer struct {
	id     string
	scores *scores
}

func (s *scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishwell-Request-Id")
	w.Header().Set("X-Radishwell-Request-Id", id)
	if r.Header.Get("X-Radishwell-Expected-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.scores.noteRun(s.id, id)
	time.Sleep(scoreTime)
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+s.id)
	_, _ = io.WriteString(w, "posted "+id)
}

// scores has clients post on kept channels.
type scores struct {
	entry  *entry
	record *record

	mu                sync.Mutex
	ids, served, lost int
	ran               map[string]bool
}

func (u *scores) noteRun(worker, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[id] = true
	u.record.add("worker %s: request %s runs", worker, id)
}

// client posts until the context ends, or the entry is gone.
func (u *scores) client(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: postTime + time.Second}
	for ctx.Err() == nil && !u.entry.hasEnded() {
		u.post(c)
	}
}

func (u *scores) post(c *http.Client) {
	u.mu.Lock()
	u.ids++
	id := fmt.Sprintf("%016x", 0x5c0e0000+u.ids)
	u.mu.Unlock()
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "http://"+u.entry.callers+"/post/x", nil)
	if err != nil {
		return
	}
	req.Host = "app.example"
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Deadline-Ms", strconv.FormatInt(postTime.Milliseconds(), 10))
	u.record.add("client: request %s sent: POST /post/x", id)
	resp, err := c.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err != nil:
		if kept && u.ran[id] {
			u.lost++
		}
		u.record.add("client: request %s: the channel was closed without an answer; kept channel %v, passed on %v", id, kept, u.ran[id])
	case resp.StatusCode == http.StatusOK:
		u.served++
		u.record.add("client: request %s: status 200, %q", id, body)
	default:
		u.record.add("client: request %s: status %d", id, resp.StatusCode)
	}
}

// playWriters has another writer write the entries of workers, with fields missing, as often as the
// workers do themselves. The rule is LOST.
func playWriters(b *bed, trouble bool) (bool, error) {
	b.writeTable(`"routes":[` + routeOf("/post/", "non_idempotent", "scores", postTime, 1, "") + "," + routeOf("/recap/", "idempotent", "recap", postTime, 2, "") +
		`],"services":[{"name":"scores","max_connections":230},{"name":"recap","max_connections":490}]`)
	u := &scores{record: b.record, ran: map[string]bool{}}
	for i := range scoreWorkers {
		id := fmt.Sprintf("s-%d", i)
		at, err := b.serve("127.0.0.1", &scorer{id: id, scores: u})
		if err != nil {
			return false, err
		}
		b.register(id, "scores", at, 6)
	}
	ctx, stop := context.WithTimeout(context.Background(), writersEnd)
	defer stop()
	for i := range recapWorkers {
		id := fmt.Sprintf("r-%d", i)
		at, err := b.serve("127.0.0.1", http.NotFoundHandler())
		if err != nil {
			return false, err
		}
		b.register(id, "recap", at, 64)
		if !trouble {
			continue
		}
		go repeat(ctx, func() { b.register(id, "recap", at, 64) })
		go repeat(ctx, func() { b.store.Put("servers", id, `{"service":"recap","zone":"a","state":"ready"}`) })
	}
	if trouble {
		b.record.add("another writer writes the entries r-0 to r-%d without their addresses about every %v, and the workers write them again as often", recapWorkers-1, heartbeat)
	}
	var err error
	if u.entry, err = b.startEntry("edge-1", 184); err != nil {
		return false, err
	}
	if err := u.entry.awaitReady(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	for range scoreClients {
		clients.Go(func() { u.client(ctx) })
	}
	clients.Wait()
	if u.entry.hasEnded() {
		b.record.add("the entry's process has ended by itself")
	}
	b.record.add("%d requests, %d served, %d lost on kept channels though passed on to a sound worker", u.ids, u.served, u.lost)
	if u.served == 0 {
		return false, problem("no request was served")
	}
	return u.lost > mayLose, nil
}
