//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// postClients is the number of clients that send posts, postTime the time budget of each, and postsEnd
	// when the run ends.
	postClients        = 6
	postTime, postsEnd = 4 * time.Second, 20 * time.Second
)

// plain is a worker of a plain service.
type plain struct {
	id     string
	record *record
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishwell-Request-Id")
	w.Header().Set("X-Radishwell-Request-Id", id)
	if r.Header.Get("X-Radishwell-Expected-Instance") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(60 * time.Millisecond)
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+p.id)
	p.record.add("worker %s: request %s ran", p.id, id)
	_, _ = io.WriteString(w, "posted "+id)
}

// poster has clients send posts through an entry.
type poster struct {
	entry  *entry
	record *record

	mu          sync.Mutex
	ids, served int
}

func (u *poster) client(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: postTime + time.Second}
	for ctx.Err() == nil {
		u.post(c)
		time.Sleep(100 * time.Millisecond)
	}
}

func (u *poster) post(c *http.Client) {
	u.mu.Lock()
	u.ids++
	id := fmt.Sprintf("%016x", 0xf0e10000+u.ids)
	u.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+u.entry.callers+"/post/x", nil)
	if err != nil {
		return
	}
	req.Host = "app.example"
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Deadline-Ms", strconv.FormatInt(postTime.Milliseconds(), 10))
	u.record.add("client: request %s sent: POST /post/x", id)
	resp, err := c.Do(req)
	if err != nil {
		u.record.add("client: request %s failed: %v", id, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	u.record.add("client: request %s: status %d, %q, %v", id, resp.StatusCode, body, err)
	u.mu.Lock()
	defer u.mu.Unlock()
	if resp.StatusCode == http.StatusOK && err == nil {
		u.served++
	}
}

// playForeign has another writer list the workers a second time, for a service that the manifest does
// not name.
func playForeign(b *bed, trouble bool) (bool, error) {
	b.writeTable(`"routes":[` + routeOf("/post/", "non_idempotent", "scores", postTime, 1, "") + `],"services":[{"name":"scores","max_connections":230}]`)
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		at, err := b.serve("127.0.0.1", &plain{id: id, record: b.record})
		if err != nil {
			return false, err
		}
		b.register(id, "scores", at, 6)
		if trouble {
			b.store.Put("servers", "copy-of-"+id, workerEntry("inventory", at, 6))
			b.record.add("another writer: entry copy-of-%s, as that of %s but for the service", id, id)
		}
	}
	e, err := b.startEntry("edge-1", 184)
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), postsEnd)
	defer stop()
	u := &poster{entry: e, record: b.record}
	var clients sync.WaitGroup
	for range postClients {
		clients.Go(func() { u.client(ctx) })
	}
	clients.Wait()
	b.record.add("%d requests, %d served", u.ids, u.served)
	if u.ids == 0 {
		return false, problem("no request was sent")
	}
	return u.served == 0, nil
}
