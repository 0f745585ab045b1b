package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// streams is the number of streams, one after the other, of streamEvents events each.
	streams      = 12
	streamEvents = 12
	eventGap     = 20 * time.Millisecond
	// cutAfter is the event after which a worker resets its channel.
	cutAfter = 5
	// lineSize is the length of the data line of an event, without its end.
	lineSize = 4096
	// warmUp is how long the entry serves streams that aren't cut: it earns its part of the retries.
	warmUp = 24 * time.Second
)

// eventText returns an event of a stream.
func eventText(id string, n int) string {
	line := fmt.Sprintf("data: %s %d ", id, n)
	return fmt.Sprintf("id: %d\n%s%s\n\n", n, line, strings.Repeat("x", lineSize-len(line)))
}

// eventWorker is a sound worker of streams.
type eventWorker struct {
	*bed
	id string
	// cuts is set while the next stream from the beginning is to be cut.
	cuts *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (k *eventWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	_, _ = io.Copy(io.Discard, r.Body)
	first := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		last, _ := strconv.Atoi(text)
		first = last + 1
	}
	cut := first == 0 && k.cuts.Swap(false)
	k.record.add("%s runs %s from event %d on", k.id, id, first)
	w.Header().Set("X-Radishwell-Request-Id", id)
	w.Header().Set("X-Radishwell-Server-Signature", "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := first; n < streamEvents; n++ {
		_, _ = io.WriteString(w, eventText(id, n))
		_ = out.Flush()
		time.Sleep(eventGap)
		if cut && n == cutAfter {
			k.record.add("%s resets the channel of %s after event %d", k.id, id, n)
			if conn, _, err := out.Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			return
		}
	}
	k.record.add("%s has ended %s", k.id, id)
}

// playEvent has clients read streams that may be resumed, of which a worker cuts some if there is trouble. The
// rule: in a stream that ends as complete no piece is missing, and none comes twice.
func playEvent(p *play) int {
	b, err := newBed(p)
	if err != nil {
		return p.fail(err)
	}
	var cuts atomic.Bool
	for i := range 3 {
		k := &eventWorker{bed: b, id: fmt.Sprintf("i-7f3a91c%d", i), cuts: &cuts}
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p.fail(err)
		}
		go func() { _ = http.Serve(lis, k) }()
		b.register(k.id, lis.Addr().String())
	}
	b.manifest(route{
		Name: "entry-assist", PathPrefix: "/lohu930/", RouteKind: "streaming", MaxAttempts: 2, TimeoutMS: 5000, TargetMS: 800, GapAimMS: 600,
		Priority: 1, Resumable: true,
	})
	e, err := b.addEntry("edge-ariana-1")
	if err != nil {
		return p.fail(err)
	}
	client := &http.Client{}
	for n, end := 0, time.Now().Add(warmUp); time.Now().Before(end); n++ {
		b.stream(client, e, fmt.Sprintf("51f0a2c98d77%04d", n))
	}
	results := map[string]int{}
	for n := range streams {
		cuts.Store(p.trouble)
		results[b.stream(client, e, fmt.Sprintf("9c41d07be2a3%04d", n))]++
		time.Sleep(time.Second)
	}
	p.record.add("streams: %v", results)
	switch {
	case results[spoilt] > 0:
		return broken
	case results[whole] == 0:
		return failed
	}
	return held
}

// stream reads a stream on a kept channel, and returns what came of it.
func (b *bed) stream(client *http.Client, e entry, id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers.String()+"/lohu930/2f", strings.NewReader("draft"))
	if err != nil {
		b.record.add("client: %s: %v", id, err)
		return unserved
	}
	req.Host = host
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Deadline-Ms", "5000")
	resp, err := client.Do(req)
	if err != nil {
		b.record.add("client: %s: %v", id, err)
		return unserved
	}
	defer resp.Body.Close()
	ids, err := readEvents(resp.Body, id)
	b.record.add("client: %s: status %d, events %v, end %v", id, resp.StatusCode, ids, err)
	switch {
	case resp.StatusCode != http.StatusOK || err != nil:
		return unserved
	case strings.Join(ids, " ") != strings.Join(allEvents(), " "):
		return spoilt
	}
	return whole
}

// allEvents returns the ids of the events of a whole stream.
func allEvents() (out []string) {
	for n := range streamEvents {
		out = append(out, strconv.Itoa(n))
	}
	return out
}

// readEvents reads the events of a stream as a client does (WHATWG HTML, server-sent events), and returns their
// ids, each with a mark if its data isn't the worker's.
func readEvents(from io.Reader, id string) (ids []string, err error) {
	in := bufio.NewReader(from)
	last, data := "", []string{}
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" {
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
		line = strings.TrimRight(line, "\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "" && len(data) > 0:
			n, _ := strconv.Atoi(last)
			mark := ""
			if eventText(id, n) != fmt.Sprintf("id: %s\ndata: %s\n\n", last, strings.Join(data, "\ndata: ")) {
				mark = fmt.Sprintf("(wrong data, %d lines)", len(data))
			}
			ids, data = append(ids, last+mark), nil
		case name == "id":
			last = value
		case name == "data":
			data = append(data, value)
		}
	}
}
