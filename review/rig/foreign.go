package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
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
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+p.id)
	p.record.add("worker %s: request %s ran", p.id, id)
	_, _ = io.WriteString(w, "posted "+id)
}

// playForeign lists workers a second time, for a service that the manifest does not name.
func playForeign(b *bed, trouble bool) (bool, error) {
	b.writeTable(`"routes":[` + routeOf("/post/", "non_idempotent", "ledger", 3*time.Second, 1, "") + `],"services":[{"name":"ledger","max_connections":110}]`)
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		at, err := b.serve("127.0.0.1", &plain{id: id, record: b.record})
		if err != nil {
			return false, err
		}
		b.register(id, "ledger", at, 6)
		if trouble {
			b.store.Put("servers", "copy-"+id, workerEntry("unnamed", at, 6))
			b.record.add("another writer lists %s as %s of a service that the manifest does not name", at, "copy-"+id)
		}
	}
	e, err := b.startEntry("edge-1", 284)
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	var mu sync.Mutex
	n, served := 0, 0
	c := &http.Client{Timeout: 4 * time.Second}
	for ctx.Err() == nil {
		n++
		id := fmt.Sprintf("%016x", 0xf0e10000+n)
		req, _ := http.NewRequest(http.MethodPost, "http://"+e.callers+"/post/x", nil)
		req.Host = "app.example"
		req.Header.Set("X-Radishwell-Request-Id", id)
		req.Header.Set("X-Radishwell-Deadline-Ms", strconv.Itoa(3000))
		b.record.add("client: request %s sent: POST /post/x", id)
		resp, err := c.Do(req)
		if err != nil {
			b.record.add("client: request %s failed: %v", id, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		b.record.add("client: request %s: status %d %s", id, resp.StatusCode, body)
		mu.Lock()
		if resp.StatusCode == http.StatusOK {
			served++
		}
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	b.record.add("%d requests, %d served", n, served)
	if n == 0 {
		return false, errors.New("no request was sent")
	}
	return served == 0, nil
}
