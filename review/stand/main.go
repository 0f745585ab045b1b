//go:build review

// Command stand has the stand-ins of the cases under review: the platform's store, workers and
// clients. Each runs as a process of its own. The tag keeps it out of the default build and tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"radishwell/io/fakes/ports"
	"radishwell/platform/stand"
)

func main() {
	commands := map[string]func([]string) int{"store": runStore, "worker": runWorker, "ports": listPorts, "ready": checkReady, "streams": runStreams, "twice": findTwice, "paths": runPaths}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand store|worker|ports|ready|streams|twice|paths")
		os.Exit(cannotRun)
	}
	os.Exit(commands[os.Args[1]](os.Args[2:]))
}

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return cannotRun
}

// listPorts prints free ports of a loopback address.
func listPorts(args []string) int {
	flags := flag.NewFlagSet("ports", flag.ExitOnError)
	n := flags.Int("n", 1, "number of ports")
	_ = flags.Parse(args)
	list, err := ports.FreeOn(netip.AddrFrom4([4]byte{127, 0, 0, 1}), *n)
	if err != nil {
		return fail(err)
	}
	for _, at := range list {
		fmt.Println(at.Port())
	}
	return held
}

// checkReady reports whether an entry says that it is ready.
func checkReady(args []string) int {
	flags := flag.NewFlagSet("ready", flag.ExitOnError)
	at := flags.String("at", "", "address of the readiness check")
	_ = flags.Parse(args)
	resp, err := http.Get("http://" + *at + "/-/readyz")
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return broken
	}
	return held
}

// runStore serves the platform's store. Its arguments after the flags are KIND/NAME=FILE.
func runStore(args []string) int {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	_ = flags.Parse(args)
	store := &stand.Store{}
	for _, arg := range flags.Args() {
		object, file, _ := strings.Cut(arg, "=")
		kind, name, _ := strings.Cut(object, "/")
		spec, err := os.ReadFile(file)
		if err != nil {
			return fail(err)
		}
		store.Put(kind, name, string(spec))
	}
	// The pages name no header field of the store, so the one that the fake adds is taken out.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { store.ServeHTTP(plainWriter{w}, r) })
	return fail(serve(*listen, handler))
}

func serve(at string, handler http.Handler) error {
	lis, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	return (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(lis)
}

// plainWriter leaves out the field Store-Era.
type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w plainWriter) Write(data []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(data)
}

// runWorker serves requests as a sound worker does, and prints those that it runs.
func runWorker(args []string) int {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "id of the worker's lifetime")
	events := flags.Int("events", 0, "events of a stream; zero for a plain service")
	gap := flags.Duration("gap", 100*time.Millisecond, "pause between two events")
	model := flags.String("model", "", "model that the worker holds")
	unframed := flags.Bool("unframed", false, "answers have no length and end with their channel")
	rate := flags.Float64("prefill", 0, "prompt tokens that the worker reads in a millisecond; it reads one prompt after the other")
	goesOn := flags.Bool("goes-on", false, "a request goes on when its channel is closed")
	_ = flags.Parse(args)
	w := &stand.Worker{ID: *id, Events: *events, Gap: *gap, Plain: *events == 0}
	w.SetUnframed(*unframed)
	if *model != "" {
		w.SetModels(stand.Held{Name: *model, Version: 1, Adapters: []string{}})
	}
	var prompts prompts
	return fail(serve(*listen, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Radishwell-Request-Id") != "" {
			logLine("ran at %s: %s %s, target %q, path %q, host %q", *id, r.Header.Get("X-Radishwell-Request-Id"), r.Method, r.RequestURI, r.URL.RequestURI(), r.Host)
			defer func() { logLine("end at %s: %s", *id, r.Header.Get("X-Radishwell-Request-Id")) }()
			out = &beginWriter{ResponseWriter: out, worker: *id, request: r.Header.Get("X-Radishwell-Request-Id")}
		}
		if *rate > 0 {
			prompts.read(r.Header.Get("X-Radishwell-Token-Usage"), *rate)
		}
		if *goesOn {
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		w.ServeHTTP(out, r)
	})))
}

// prompts are those that a worker reads, one after the other.
type prompts struct{ mu sync.Mutex }

// read takes the time to read the prompt of a request.
func (p *prompts) read(usage string, rate float64) {
	text, _, _ := strings.Cut(usage, ",")
	tokens, err := strconv.Atoi(text)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(time.Duration(float64(tokens) / rate * float64(time.Millisecond)))
}

// beginWriter prints when a request begins to run, which is with the first bytes of its answer.
type beginWriter struct {
	http.ResponseWriter
	worker, request string
	begun           bool
}

// Write implements http.ResponseWriter.
func (w *beginWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.begun = true
		logLine("begun at %s: %s", w.worker, w.request)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *beginWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// logLine prints a line with the time.
func logLine(format string, args ...any) {
	fmt.Println(time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}
