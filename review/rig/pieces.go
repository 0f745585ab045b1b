package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pieces is the number of events of a stream, and pieceLines that of the lines of data in one.
	pieces, pieceLines = 12, 3
	// lineBytes is the length of an event's first line of data, without its end.
	lineBytes = 4096
	// lineGap is the pause after each line of data: a worker sends it as it is generated.
	lineGap = 60 * time.Millisecond
	// streamWorkers is the number of workers, of which one in five crashes.
	streamWorkers = 5
	// streamClients is the number of clients that read streams, one after the other.
	streamClients = 20
	// crashAt is when a worker crashes, crashFor how long it is down, and streamsEnd when the run ends.
	crashAt, crashFor, streamsEnd = 8 * time.Second, 4 * time.Second, 20 * time.Second
	// streamTime is the time budget of a stream.
	streamTime = 15 * time.Second
)

// lineOf returns a line of data of an event, without its end.
func lineOf(n, line, size int) string {
	out := fmt.Sprintf("data: piece %d line %d ", n, line)
	return out + strings.Repeat("x", max(0, size-len(out)))
}

// linesOf returns the lines of data of an event.
func linesOf(n int) (out []string) {
	for line := range pieceLines {
		size := 100
		if line == 0 {
			size = lineBytes
		}
		out = append(out, lineOf(n, line, size))
	}
	return out
}

// streamer is a worker that answers with events, each of several lines.
type streamer struct {
	id     string
	step   int
	record *record
}

func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Radishwell-Request-Id")
	w.Header().Set("X-Radishwell-Request-Id", id)
	if r.Header.Get("X-Radishwell-Expected-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.record.add("worker %s: request %s runs, after event %d", s.id, id, after)
	flush := http.NewResponseController(w)
	for n := after + s.step; n <= pieces*s.step; n += s.step {
		_, _ = fmt.Fprintf(w, "id: %d\n", n)
		for _, line := range linesOf(n) {
			if _, err := io.WriteString(w, line+"\n"); err != nil || flush.Flush() != nil {
				s.record.add("worker %s: request %s broke off in event %d", s.id, id, n)
				return
			}
			select {
			case <-r.Context().Done():
				s.record.add("worker %s: request %s broke off in event %d", s.id, id, n)
				return
			case <-time.After(lineGap):
			}
		}
		_, _ = io.WriteString(w, "\n")
		_ = flush.Flush()
	}
	s.record.add("worker %s: request %s ended", s.id, id)
}

// process is a worker that can crash and start again at its address.
type process struct {
	at      netip.AddrPort
	handler http.Handler
	server  *http.Server
}

func startProcess(h http.Handler, at string) (*process, error) {
	lis, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &process{at: lis.Addr().(*net.TCPAddr).AddrPort(), handler: h, server: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	go func() { _ = p.server.Serve(lis) }() // it ends with Close
	return p, nil
}

// crash ends the process: its system closes its connections and refuses new ones.
func (p *process) crash() { _ = p.server.Close() }

// readers has clients read streams through an entry.
type readers struct {
	entry  *entry
	record *record
	step   int
	// expect returns the data of an event.
	expect func(n int) string

	mu                     sync.Mutex
	ids, whole, cut, wrong int
}

func (u *readers) nextID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids++
	return fmt.Sprintf("%016x", 0x57e40000+u.ids)
}

func (u *readers) client(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{}}
	for ctx.Err() == nil {
		u.read(c)
	}
}

// read reads one stream to its end.
func (u *readers) read(c *http.Client) {
	ctx, stop := context.WithTimeout(context.Background(), streamTime)
	defer stop()
	id := u.nextID()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.entry.callers+"/chat/x", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	req.Host = "app.example"
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Deadline-Ms", strconv.FormatInt(streamTime.Milliseconds(), 10))
	u.record.add("client: request %s sent: POST /chat/x", id)
	resp, err := c.Do(req)
	if err != nil {
		u.note(&u.cut, "client: request %s failed: %v", id, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		u.note(&u.cut, "client: request %s: status %d", id, resp.StatusCode)
		time.Sleep(200 * time.Millisecond)
		return
	}
	last, fault, err := u.readEvents(resp.Body)
	switch {
	case fault != "":
		u.note(&u.wrong, "client: request %s: after event %d: %s", id, last, fault)
	case err != nil:
		u.note(&u.cut, "client: request %s was cut after event %d: %v", id, last, err)
	case last != pieces*u.step:
		u.note(&u.wrong, "client: request %s ended as complete after event %d", id, last)
	default:
		u.note(&u.whole, "client: request %s: whole", id)
	}
}

func (u *readers) note(count *int, format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*count++
	u.record.add(format, args...)
}

// readEvents reads events as clients do: lines up to a blank one, of which the last id and the lines of
// data make the event. It returns the last event that was as it should be, and what is wrong with the next.
func (u *readers) readEvents(body io.Reader) (last int, fault string, err error) {
	in := bufio.NewReaderSize(body, 1<<20)
	id, data := 0, []string{}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return last, "", nil
			}
			return last, "", err
		}
		line = strings.TrimRight(line, "\n")
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
		}
		if strings.HasPrefix(line, "data:") {
			data = append(data, line)
		}
		if line != "" || len(data) == 0 {
			continue
		}
		if id != last+u.step || strings.Join(data, "\n") != u.expect(id) {
			return last, fmt.Sprintf("an event with id %d and the data %q", id, heads(data)), nil
		}
		last, data = id, nil
	}
}

// heads returns the beginnings of lines.
func heads(lines []string) (out []string) {
	for _, l := range lines {
		out = append(out, l[:min(len(l), 22)])
	}
	return out
}

// playPieces lets one of five workers crash while it sends events with a line of 4,096 bytes.
func playPieces(b *bed, trouble bool) (bool, error) { return playStreams(b, trouble, 1) }

// playSteps lets one of five workers crash whose events have ids that rise by more than one.
func playSteps(b *bed, trouble bool) (bool, error) { return playStreams(b, trouble, 4) }

func playStreams(b *bed, trouble bool, step int) (bool, error) {
	route := routeOf("/chat/", "streaming", "chat", streamTime, 2, `,"resumable":true,"gap_aim_ms":600`)
	b.writeTable(`"routes":[` + route + `],"services":[{"name":"chat","max_connections":370}]`)
	var first *process
	for i := range streamWorkers {
		s := &streamer{id: fmt.Sprintf("i-%d", i), step: step, record: b.record}
		p, err := startProcess(s, "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		b.onClose(func() { p.crash() })
		b.register(s.id, "chat", p.at, 64)
		if first == nil {
			first = p
		}
	}
	e, err := b.startEntry("edge-1", 284)
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), streamsEnd)
	defer stop()
	u := &readers{entry: e, record: b.record, step: step, expect: func(n int) string { return strings.Join(linesOf(n), "\n") }}
	var clients sync.WaitGroup
	for range streamClients {
		clients.Go(func() { u.client(ctx) })
	}
	time.Sleep(crashAt)
	if trouble {
		b.record.add("worker i-0 crashes")
		first.crash()
		time.Sleep(crashFor)
		again, err := startProcess(&streamer{id: "i-0b", step: step, record: b.record}, first.at.String())
		if err != nil {
			return false, err
		}
		b.onClose(again.crash)
		b.store.Remove("servers", "i-0")
		b.register("i-0b", "chat", again.at, 64)
		b.record.add("worker i-0b starts")
	}
	clients.Wait()
	b.record.add("%d streams, %d whole, %d cut, %d wrong", u.ids, u.whole, u.cut, u.wrong)
	if u.whole+u.wrong == 0 {
		return false, errors.New("no stream was served")
	}
	return u.wrong > 0, nil
}
