//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"
)

// answer is what a client has seen of one request.
type answer struct {
	status int
	signed bool
	// framing is what marks the end of the body: "length", "chunks" or "close".
	framing string
	body    string
	// end is nil if the answer ended as a complete one does.
	end error
}

// connect opens a channel.
func connect(entry string) (net.Conn, error) { return net.DialTimeout("tcp", entry, time.Second) }

// send sends a request on a new channel and reads the answer to its end.
func send(entry, method, target, host, id, body string, limit time.Duration, more ...string) answer {
	conn, err := connect(entry)
	if err != nil {
		return answer{end: err}
	}
	defer conn.Close()
	return exchange(conn, method, target, host, id, body, limit, more...)
}

// exchange sends a request on a channel and reads the answer to its end.
func exchange(conn net.Conn, method, target, host, id, body string, limit time.Duration, more ...string) answer {
	_ = conn.SetDeadline(time.Now().Add(limit + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Radishwell-Request-Id: %s\r\nX-Radishwell-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		method, target, host, id, limit.Milliseconds(), len(body))
	for i := 0; i < len(more); i += 2 {
		head += more[i] + ": " + more[i+1] + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return answer{end: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{end: err}
	}
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("X-Radishwell-Server-Signature") != "", framing: "close"}
	switch {
	case resp.ContentLength >= 0:
		a.framing = "length"
	case len(resp.TransferEncoding) > 0:
		a.framing = "chunks"
	}
	// ReadAll returns an error for a reset, and for a body that is shorter than its length or
	// lacks its last chunk. A body without either is complete once its channel is closed in order.
	text, err := io.ReadAll(resp.Body)
	a.body, a.end = string(text), err
	return a
}

// streamHeader returns the header fields of the nth request for a stream.
func streamHeader(n, prompt int) []string {
	return []string{
		"X-Radishwell-Model", "m-1", "X-Radishwell-Token-Usage", fmt.Sprintf("%d,40", prompt),
		"X-Radishwell-Prompt-Prefix", fmt.Sprintf("0a:60,%04x:%d", 0x1000+n, prompt-60),
	}
}

// runStreams sends streams at the same time and reports those that ended as complete before their
// last event.
func runStreams(args []string) int {
	flags := flag.NewFlagSet("streams", flag.ExitOnError)
	entry := flags.String("entry", "", "address of the entry")
	path := flags.String("path", "", "path")
	n := flags.Int("n", 8, "number of streams")
	events := flags.Int("events", 0, "events of a whole stream")
	limit := flags.Duration("limit", 15*time.Second, "time budget")
	prompt := flags.Int("prompt", 100, "tokens of a prompt")
	gap := flags.Duration("gap", 0, "time between two requests")
	prefix := flags.String("prefix", "q", "beginning of the requests' ids")
	whole := flags.Bool("whole", false, "the case cannot be judged unless all streams are complete")
	_ = flags.Parse(args)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served, early := 0, 0
	for i := range *n {
		time.Sleep(*gap)
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%s-%d", *prefix, i)
			logLine("sent %s to %s", id, *entry)
			a := send(*entry, http.MethodPost, *path, "a.example", id, "prompt of "+id, *limit, streamHeader(i, *prompt)...)
			got := strings.Count(a.body, "\n\n")
			logLine("answer %s: status %d, signed %v, end marked by %s, %d of %d events, error %v", id, a.status, a.signed, a.framing, got, *events, a.end)
			mu.Lock()
			defer mu.Unlock()
			if a.status != http.StatusOK || !a.signed || a.end != nil {
				return
			}
			if got == *events {
				served++
			} else {
				early++
			}
		}()
	}
	wait.Wait()
	logLine("%d streams sent, %d complete, %d ended as complete before their last event", *n, served, early)
	switch {
	case early > 0:
		return broken
	case *whole && served < *n:
		return cannotRun
	}
	return held
}

// runPaths sends a request for each target and reports those that a worker ran with another path
// or host.
func runPaths(args []string) int {
	flags := flag.NewFlagSet("paths", flag.ExitOnError)
	entry := flags.String("entry", "", "address of the entry")
	log := flags.String("log", "", "file with the lines that the worker prints")
	_ = flags.Parse(args)
	const host = "b.example"
	status := held
	for i, target := range flags.Args() {
		id := fmt.Sprintf("q-%d", i)
		logLine("sent %s: POST, target %q, host %q", id, target, host)
		a := send(*entry, http.MethodPost, target, host, id, "body", 1500*time.Millisecond)
		logLine("answer %s: status %d, signed %v, error %v", id, a.status, a.signed, a.end)
		lines, err := os.ReadFile(*log)
		if err != nil {
			return fail(err)
		}
		ran := regexp.MustCompile(`: ` + id + ` (.*)`).FindSubmatch(lines)
		want := fmt.Sprintf("path %q, host %q", target, host)
		switch {
		case ran != nil && !strings.HasSuffix(string(ran[1]), want):
			logLine("%s ran as %s", id, ran[1])
			status = broken
		case ran == nil && status == held:
			status = cannotRun
		}
	}
	return status
}
