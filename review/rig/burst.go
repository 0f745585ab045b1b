//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// listBytes is the size of an answer, below the megabyte up to which an entry holds answers back.
	listBytes = 1_000_000
	// listTime is how long a worker takes to send it.
	listTime = 1500 * time.Millisecond
	// usualClients is the usual number of clients, and burstClients that of a burst of 2.4 times the
	// usual traffic.
	usualClients = 40
	burstClients = 96
	// burstBegins is when the burst begins, burstFor how long it lasts, and burstEnds when the run ends.
	burstBegins, burstFor, burstEnds = 6 * time.Second, 4500 * time.Millisecond, 14 * time.Second
	// clientTimeout is the clients' time budget.
	clientTimeout = 10 * time.Second
)

// listOf returns the body of a worker's answer to a request: lines that are numbered and name the request.
func listOf(id string, size int) []byte {
	out := make([]byte, 0, size+64)
	for n := 0; len(out) < size; n++ {
		out = fmt.Appendf(out, "%s line %07d\n", id, n)
	}
	return out[:size]
}

// lister is a worker of a plain service that answers with a long list, at an even pace.
type lister struct {
	id     string
	record *record
}

func (l *lister) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishwell-Request-Id")
	w.Header().Set("X-Radishwell-Request-Id", id)
	if r.Header.Get("X-Radishwell-Expected-Instance") != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body := listOf(id, listBytes)
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+l.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	const pieces = 50
	for i := range pieces {
		if _, err := w.Write(body[i*len(body)/pieces : (i+1)*len(body)/pieces]); err != nil {
			l.record.add("worker %s: request %s left after %d pieces", l.id, id, i)
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			l.record.add("worker %s: request %s left after %d pieces", l.id, id, i+1)
			return
		case <-time.After(listTime / pieces):
		}
	}
	l.record.add("worker %s: request %s ran, %d bytes", l.id, id, len(body))
}

// burst has clients read lists through an entry.
type burst struct {
	entry  *entry
	record *record

	mu    sync.Mutex
	ids   int
	whole int
	wrong int
}

func (u *burst) nextID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids++
	return fmt.Sprintf("%016x", 0x5eed0000+u.ids)
}

// client asks for one list after the other until the context ends.
func (u *burst) client(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	for ctx.Err() == nil {
		u.ask(ctx, c)
	}
}

func (u *burst) ask(ctx context.Context, c *http.Client) {
	id := u.nextID()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.entry.callers+"/lists/all", nil)
	if err != nil {
		return
	}
	req.Host = "app.example"
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	req.Header.Set("Accept-Encoding", "identity")
	u.record.add("client: request %s sent: GET /lists/all", id)
	resp, err := c.Do(req)
	if err != nil {
		u.record.add("client: request %s failed: %v", id, err)
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	signed := resp.Header.Get("X-Radishwell-Server-Signature")
	u.judge(id, resp.StatusCode, signed, body, err)
	if resp.StatusCode != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
}

// judge checks an answer by the rule MIXED: a success has the worker's signature and whole body, and one
// that ends early does not look complete.
func (u *burst) judge(id string, status int, signed string, body []byte, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case status/100 != 2 || err != nil:
		u.record.add("client: request %s: status %d, %d bytes, %v", id, status, len(body), err)
	case signed == "" || !bytes.Equal(body, listOf(id, listBytes)):
		u.wrong++
		u.record.add("client: request %s: status %d, signed %q, a complete answer of %d bytes in place of %d%s", id, status, signed, len(body), listBytes, repeated(body, id))
	default:
		u.whole++
		u.record.add("client: request %s: status %d, whole", id, status)
	}
}

// repeated tells where a body begins anew.
func repeated(body []byte, id string) string {
	first := fmt.Appendf(nil, "%s line %07d\n", id, 0)
	if at := bytes.LastIndex(body, first); at > 0 {
		return fmt.Sprintf(", its beginning comes again at byte %d", at)
	}
	return ""
}

// playBurst lets many users come at once while an entry passes long answers on.
func playBurst(b *bed, trouble bool) (bool, error) {
	b.writeTable(`"routes":[` + routeOf("/lists/", "idempotent", "ledger", clientTimeout, 2, "") + `],"services":[{"name":"ledger","max_connections":110}]`)
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		at, err := b.serve("127.0.0.1", &lister{id: id, record: b.record})
		if err != nil {
			return false, err
		}
		b.register(id, "ledger", at, 32)
	}
	e, err := b.startEntry("edge-1", 284)
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), burstEnds)
	defer stop()
	u := &burst{entry: e, record: b.record}
	var clients sync.WaitGroup
	for i := range usualClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * listTime / usualClients)
			u.client(ctx)
		})
	}
	time.Sleep(burstBegins)
	if trouble {
		b.record.add("burst: %d clients in place of %d", burstClients, usualClients)
		short, end := context.WithTimeout(ctx, burstFor)
		defer end()
		for range burstClients - usualClients {
			clients.Go(func() { u.client(short) })
		}
	}
	clients.Wait()
	b.record.add("%d requests, %d whole answers, %d complete answers with another body", u.ids, u.whole, u.wrong)
	if u.whole+u.wrong == 0 {
		return false, problem("no request was served")
	}
	return u.wrong > 0, nil
}
