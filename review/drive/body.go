package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// largePosts requests with the largest body that the manifest allows come first, then smallPosts ones
	// with a body of smallSize, one each postGap.
	largePosts = 12
	largeSize  = 4 << 20
	smallPosts = 5
	smallSize  = 1_000_000
	postGap    = 500 * time.Millisecond
	// readGap is the time between two reads, whose answers have readSize bytes unless SIZE says otherwise.
	// The entry buffers answers of up to 1 MiB.
	readGap  = 100 * time.Millisecond
	readSize = 1_000_000
	// bodyTime is the time budget of a request.
	bodyTime = 30 * time.Second
	// A slow worker reads slowPiece bytes of a body each slowPause.
	slowPiece = 32 << 10
	slowPause = 100 * time.Millisecond
)

// answerBody returns the body of the answer to a request, which differs from all others.
func answerBody(id string, size int) []byte {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id)
	out := make([]byte, 0, size+64)
	for line := 0; len(out) < size; line++ {
		out = append(out, fmt.Sprintf("%s %x %08d\n", id, sum.Sum64(), line)...)
	}
	return out[:size]
}

// bodyWorker is a sound worker that reads the bodies of requests, slowly if there is trouble, and answers
// requests without one with a large body.
type bodyWorker struct {
	*bed
	id   string
	size int
}

// ServeHTTP implements http.Handler.
func (k *bodyWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	body := []byte("booked " + id)
	if r.Method == http.MethodPost {
		n := k.readBody(r.Body)
		k.record.add("%s ran %s, %d bytes read", k.id, id, n)
	} else {
		body = answerBody(id, k.size)
		k.record.add("%s ran %s", k.id, id)
	}
	w.Header().Set("X-Radishwell-Request-Id", id)
	w.Header().Set("X-Radishwell-Server-Signature", "sig-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (k *bodyWorker) readBody(from io.Reader) int64 {
	if !k.trouble {
		n, _ := io.Copy(io.Discard, from)
		return n
	}
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, from, slowPiece)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(slowPause)
	}
}

// playBody has clients send large bodies, which workers read slowly if there is trouble, and others read. The
// rule: a client gets no success with a body that isn't the worker's whole body.
func playBody(p *play) int {
	size := readSize
	if text := os.Getenv("SIZE"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	b, err := newBed(p)
	if err != nil {
		return p.fail(err)
	}
	for i := range 3 {
		k := &bodyWorker{bed: b, id: fmt.Sprintf("i-7f3a91c%d", i), size: size}
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p.fail(err)
		}
		go func() { _ = http.Serve(lis, k) }()
		b.register(k.id, lis.Addr().String())
	}
	b.manifest(
		route{Name: "balance-read", PathPrefix: "/lohu930/", RouteKind: "idempotent", MaxAttempts: 2, TimeoutMS: 30000, TargetMS: 300, Priority: 2},
		route{Name: "dues-post", PathPrefix: "/puxa403/", RouteKind: "non_idempotent", MaxAttempts: 1, TimeoutMS: 30000, TargetMS: 300, Priority: 2},
	)
	e, err := b.addEntry("edge-ariana-1")
	if err != nil {
		return p.fail(err)
	}
	var posts sync.WaitGroup
	for i := range largePosts + smallPosts {
		posts.Add(1)
		go func() {
			defer posts.Done()
			time.Sleep(time.Duration(i) * postGap)
			n := smallSize
			if i < largePosts {
				n = largeSize
			}
			b.post(e, fmt.Sprintf("9c41d07be2a3%04d", i), n)
		}()
	}
	results := map[string]int{}
	for i := range int((largePosts+smallPosts)*postGap/readGap) + 20 {
		time.Sleep(readGap)
		results[b.get(e, fmt.Sprintf("51f0a2c98d77%04d", i), size)]++
	}
	posts.Wait()
	p.record.add("reads: %v", results)
	switch {
	case results[spoilt] > 0:
		return broken
	case results[whole] == 0:
		return failed
	}
	return held
}

// Results of a read.
const (
	whole    = "whole"
	spoilt   = "spoilt"
	unserved = "unserved"
)

// send sends a request on a channel of its own, and returns its answer and the body.
func (b *bed) send(e entry, method, target, id string, body []byte) (*http.Response, []byte, error) {
	conn, err := net.Dial("tcp", e.callers.String())
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(bodyTime))
	b.record.add("client: sends %s %s, %d bytes", method, id, len(body))
	if _, err := conn.Write(append([]byte(requestText(method, target, id, bodyTime, len(body))), body...)); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, nil, err
	}
	got, err := io.ReadAll(resp.Body)
	return resp, got, err
}

func (b *bed) post(e entry, id string, size int) {
	resp, got, err := b.send(e, http.MethodPost, "/puxa403/2f", id, answerBody(id, size))
	if err != nil {
		b.record.add("client: %s: %v", id, err)
		return
	}
	b.record.add("client: %s: status %d, %q", id, resp.StatusCode, got)
}

func (b *bed) get(e entry, id string, size int) string {
	resp, got, err := b.send(e, http.MethodGet, "/lohu930/2f", id, nil)
	if err != nil {
		b.record.add("client: %s: %v", id, err)
		return unserved
	}
	want := answerBody(id, size)
	equal := bytes.Equal(got, want)
	b.record.add("client: %s: status %d, signature %q, %d bytes (the worker sent %d), whole and equal: %t", id, resp.StatusCode,
		resp.Header.Get("X-Radishwell-Server-Signature"), len(got), len(want), equal)
	switch {
	case resp.StatusCode/100 != 2:
		return unserved
	case !equal:
		return spoilt
	}
	return whole
}
