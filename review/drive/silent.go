//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// deployments is the number of deployments that are played beside each other, each with a store, workers
	// and so many entries of its own.
	deployments = 4
	entries     = 5
	// calm is how long a deployment runs before its channels fall silent, and further up to calmMore: where the
	// silence falls in a watch is left to chance.
	calm, calmMore = 6 * time.Second, 2 * time.Second
	// changeAfter is when the manifest changes, from the silence on, and watched how long requests are sent then.
	changeAfter = 200 * time.Millisecond
	watched     = 8 * time.Second
	requestGap  = 25 * time.Millisecond
	// contact and apply are contact_ms and config_apply_ms of the site.
	contact = 3 * time.Second
	apply   = 2 * time.Second
	// lostAfter is when the system of the entry gives up a silent channel by itself: its keep-alive probes begin
	// after 2 s, and three are sent a second apart. The relay would answer them.
	lostAfter = 5 * time.Second
)

// relay passes channels on to the store. Those that are open when it falls silent carry nothing more, without an
// end; new ones work.
type relay struct {
	to string

	mu   sync.Mutex
	open map[*channel]bool
}

// channel is one channel through a relay.
type channel struct {
	ends   [2]net.Conn
	silent bool
}

func (r *relay) serve(lis net.Listener) {
	for {
		from, err := lis.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		c := &channel{ends: [2]net.Conn{from, to}}
		r.mu.Lock()
		r.open[c] = true
		r.mu.Unlock()
		go r.pass(c, from, to)
		go r.pass(c, to, from)
	}
}

// pass copies what comes from one end to the other.
func (r *relay) pass(c *channel, from, to net.Conn) {
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		r.mu.Lock()
		silent := c.silent
		r.mu.Unlock()
		switch {
		case silent && err != nil:
			return // the other end does not learn of it
		case silent:
			continue
		case n > 0:
			_, _ = to.Write(piece[:n])
		}
		if err != nil {
			r.mu.Lock()
			delete(r.open, c)
			r.mu.Unlock()
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// silence makes all open channels silent, and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.open)
	for c := range r.open {
		c.silent = true
		time.AfterFunc(lostAfter, func() {
			_ = c.ends[0].Close()
			_ = c.ends[1].Close()
		})
	}
	r.open = map[*channel]bool{}
	return n
}

// serviceWorker is a sound worker whose answer names its service.
type serviceWorker struct {
	id, service string
}

// ServeHTTP implements http.Handler.
func (k *serviceWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishwell-Request-Id")
	switch {
	case id == "":
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("X-Radishwell-Expected-Instance") != k.id:
		w.Header().Set("X-Radishwell-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Radishwell-Request-Id", id)
	w.Header().Set("X-Radishwell-Server-Signature", "sig-"+id)
	_, _ = io.WriteString(w, k.service)
}

// The services between which the route moves.
const (
	oldService = "sijill"
	newService = "sijill-next"
)

// playSilent plays all deployments. The rule: a request that is sent later than config_apply_ms after the
// acknowledgement of a version is not handled as only an older version allows, by a machine in touch.
func playSilent(p *play) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	for i := range deployments {
		wg.Add(1)
		go func() {
			defer wg.Done()
			result, err := playOneSilent(p, i)
			if err != nil {
				p.record.add("deployment %d cannot run: %v", i, err)
				result = unserved
			}
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		}()
	}
	wg.Wait()
	p.record.add("deployments: %v", results)
	switch {
	case results[unserved] > 0:
		return failed
	case results[late] > 0:
		return broken
	}
	return held
}

// Results of a deployment.
const (
	inTime   = "in-time"
	late     = "late"
	unserved = "unserved"
)

// playOneSilent plays one deployment.
func playOneSilent(p *play, number int) (string, error) {
	b, err := newBed(p, number)
	if err != nil {
		return "", err
	}
	for i, service := range []string{oldService, oldService, newService, newService} {
		k := &serviceWorker{id: fmt.Sprintf("i-%d%d", number, i), service: service}
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		go func() { _ = http.Serve(lis, k) }()
		b.register(k.id, service, lis.Addr().String())
	}
	b.manifest(oldService)
	all, err := b.startEntries(entries)
	if err != nil {
		return "", err
	}
	m := &move{bed: b, silentAt: time.Now().Add(calm + time.Duration(rand.Int64N(int64(calmMore))))}
	time.AfterFunc(time.Until(m.silentAt), m.change)
	var wg sync.WaitGroup
	results := make([]string, len(all))
	for i, e := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = m.follow(e, i)
		}()
	}
	wg.Wait()
	for _, result := range []string{unserved, late} {
		if slices.Contains(results, result) {
			return result, nil
		}
	}
	return inTime, nil
}

// move is the move of the route in one deployment.
type move struct {
	*bed
	silentAt time.Time

	mu sync.Mutex
	// acknowledged is when the store had the new manifest, zero before.
	acknowledged time.Time
}

// change makes the channels to the store silent if there is trouble, and moves the route.
func (m *move) change() {
	if m.trouble {
		m.record.add("deployment %d: the %d open channels between the entries and the store fall silent", m.number, m.relay.silence())
	}
	time.Sleep(changeAfter)
	m.manifest(newService)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acknowledged = time.Now()
}

// counts reports whether the rule binds a request that was sent at a time: later than config_apply_ms after the
// acknowledgement, and at a machine that has been in touch for contact_ms.
func (m *move) counts(sent time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inTouch := !m.trouble || sent.Sub(m.silentAt) > contact
	return inTouch && !m.acknowledged.IsZero() && sent.Sub(m.acknowledged) > apply
}

// follow sends requests to an entry, one after the other on a kept channel, and returns the result.
func (m *move) follow(e entry, place int) string {
	client := &http.Client{Transport: &http.Transport{}}
	served, lateOnes, last := 0, 0, ""
	for n := 0; time.Now().Before(m.silentAt.Add(changeAfter + watched)); n++ {
		sent := time.Now()
		by := m.post(client, e, fmt.Sprintf("9c41d07b%02d%02d%04d", m.number, place, n))
		if by == newService || by == oldService {
			served++
		}
		if by != last {
			m.record.add("%s: from %.3f s after the silence on, requests are run by %q", e.name, sent.Sub(m.silentAt).Seconds(), by)
			last = by
		}
		if by == oldService && m.counts(sent) {
			lateOnes++
		}
		time.Sleep(requestGap)
	}
	m.record.add("%s: %d requests served; the old service ran %d that were sent over %v after the silence and over %v after the acknowledgement",
		e.name, served, lateOnes, contact, apply)
	switch {
	case served == 0 || last != newService:
		return unserved
	case lateOnes > 0:
		return late
	}
	return inTime
}

// post sends a request on a kept channel, and returns the service that ran it, or what else came of it.
func (b *bed) post(client *http.Client, e entry, id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers.String()+"/puxa403/2f", strings.NewReader("dues"))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := bufio.NewReader(resp.Body).ReadString(0)
	if err != nil && err != io.EOF {
		return err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return text
}
