//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pieces is the number of events of a stream, and pieceLines that of the lines of data in one.
	pieces, pieceLines = 12, 3
	// lineBytes is the length of a line of data, without its end, and longBytes that of the first of an
	// event in the case of long lines.
	lineBytes, longBytes = 100, 4096
	// lineGap is the pause after each line of data: a worker sends it as it is generated.
	lineGap = 60 * time.Millisecond
	// streamWorkers is the number of workers, of which one in five crashes.
	streamWorkers = 5
	// streamClients is the number of clients that read streams, one after the other.
	streamClients = 30
	// mayLose is how many requests on kept channels a machine may lose.
	mayLose = 3
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

// streamKind is how the workers' streams are: by how much the ids of events rise, and the length of the
// first line of data of each.
type streamKind struct{ step, first int }

// lines returns the lines of data of an event.
func (k streamKind) lines(n int) (out []string) {
	for line := range pieceLines {
		size := lineBytes
		if line == 0 {
			size = k.first
		}
		out = append(out, lineOf(n, line, size))
	}
	return out
}

// last returns the id of a stream's last event.
func (k streamKind) last() int { return pieces * k.step }

// streamer is a worker that answers with events, each of several lines.
type streamer struct {
	streamKind
	id     string
	record *record
	// onRun is called when a request begins to run.
	onRun func(id string, after int)
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
	s.onRun(id, after)
	flush := http.NewResponseController(w)
	for n := after + s.step; n <= s.last(); n += s.step {
		_, _ = fmt.Fprintf(w, "id: %d\n", n)
		for _, line := range s.lines(n) {
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
	streamKind
	entry  *entry
	record *record

	mu                     sync.Mutex
	ids, whole, cut, wrong int
	// continued are the requests that ran at a further worker after the first, and lost counts those on kept
	// channels that were cut nevertheless.
	continued map[string]bool
	lost      int
}

func (u *readers) nextID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids++
	return fmt.Sprintf("%016x", 0x57e40000+u.ids)
}

// noteRun notes that a request runs at a worker after an event.
func (u *readers) noteRun(id string, after int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if after > 0 {
		u.continued[id] = true
	}
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
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
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
		u.noteCut(id, kept, 0, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		u.record.add("client: request %s: status %d", id, resp.StatusCode)
		time.Sleep(200 * time.Millisecond)
		return
	}
	last, fault, err := u.readEvents(resp.Body)
	switch {
	case fault != "":
		u.note(&u.wrong, "client: request %s: after event %d: %s", id, last, fault)
	case err != nil:
		u.noteCut(id, kept, last, err)
	case last != u.last():
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

// noteCut notes a request whose channel was closed without a complete answer.
func (u *readers) noteCut(id string, kept bool, last int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut++
	if kept && u.continued[id] {
		u.lost++
	}
	u.record.add("client: request %s was cut after event %d: %v; kept channel %v, passed on to a further worker %v", id, last, err, kept, u.continued[id])
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
		if id != last+u.step || strings.Join(data, "\n") != strings.Join(u.lines(id), "\n") {
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

// playPieces lets one of five workers crash while it sends events with a line of 4,096 bytes. The rule is
// ORDER.
func playPieces(b *bed, trouble bool) (bool, error) {
	u, err := playStreams(b, trouble, streamKind{step: 1, first: longBytes})
	return u.wrong > 0, err
}

// playSteps lets one of five workers crash whose events have ids that rise by four. The rule is LOST.
func playSteps(b *bed, trouble bool) (bool, error) {
	u, err := playStreams(b, trouble, streamKind{step: 4, first: lineBytes})
	return u.lost > mayLose, err
}

func playStreams(b *bed, trouble bool, kind streamKind) (*readers, error) {
	u := &readers{streamKind: kind, record: b.record, continued: map[string]bool{}}
	route := routeOf("/chat/", "streaming", "chat", streamTime, 2, `,"resumable":true,"gap_aim_ms":600`)
	b.writeTable(`"routes":[` + route + `],"services":[{"name":"chat","max_connections":370}]`)
	worker := func(id, at string) (*process, error) {
		p, err := startProcess(&streamer{streamKind: kind, id: id, record: b.record, onRun: u.noteRun}, at)
		if err == nil {
			b.onClose(p.crash)
			b.register(id, "chat", p.at, 64)
		}
		return p, err
	}
	var first *process
	for i := range streamWorkers {
		p, err := worker(fmt.Sprintf("i-%d", i), "127.0.0.1:0")
		if err != nil {
			return u, err
		}
		if i == 0 {
			first = p
		}
	}
	var err error
	if u.entry, err = b.startEntry("edge-1", 284); err != nil {
		return u, err
	}
	if err := u.entry.awaitReady(); err != nil {
		return u, err
	}
	ctx, stop := context.WithTimeout(context.Background(), streamsEnd)
	defer stop()
	var clients sync.WaitGroup
	for range streamClients {
		clients.Go(func() { u.client(ctx) })
	}
	time.Sleep(crashAt)
	if trouble {
		b.record.add("worker i-0 crashes")
		first.crash()
		time.Sleep(crashFor)
		b.store.Remove("servers", "i-0")
		if _, err := worker("i-0b", first.at.String()); err != nil {
			return u, err
		}
		b.record.add("worker i-0b starts")
	}
	clients.Wait()
	b.record.add("%d streams, %d whole, %d cut, %d of these lost on kept channels though passed on to a further worker, %d wrong", u.ids, u.whole, u.cut, u.lost, u.wrong)
	if u.whole+u.wrong == 0 {
		return u, problem("no stream was served")
	}
	return u, nil
}
