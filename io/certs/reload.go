package certs

import (
	"context"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/io/events"
)

const (
	// pollInterval puts changed files in use as quickly as a catalogue edit, at the
	// cost of reading a few small files.
	pollInterval = time.Second
	// warnBefore is the time before expiry from which warnings are logged. A week
	// leaves time over a weekend and holidays.
	warnBefore   = 7 * 24 * time.Hour
	warnInterval = 24 * time.Hour
)

// Reloader holds the newest valid version of a set of TLS files. Its fields must be set
// before Load.
type Reloader struct {
	Files Files
	// Self is the identity that the certificate must name. It is the zero Identity for
	// a certificate that is used towards callers.
	Self  Identity
	Clock core.Clock

	// current is the version in use.
	current atomic.Pointer[bundle]
	// The fields below are used by Load, Run and Poll only.

	// invalid holds the files found invalid at the last Poll.
	invalid contents
	// reported is set if the invalid files have been logged.
	reported bool
	// nextWarning is the earliest time of the next warning about expiry.
	nextWarning time.Time
}

// Load reads the files for the first time. It returns an error if they cannot be used.
// It must succeed before any other method is called.
func (r *Reloader) Load() error {
	t, err := r.Files.read()
	if err != nil {
		return err
	}
	m, err := r.Files.parse(t, r.Self)
	if err != nil {
		return err
	}
	r.use(m)
	return nil
}

// Run reads the files again when they change. It returns nil when ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			r.Poll()
		}
	}
}

// Poll checks the files once for changes. Run calls it every second.
//
// Files are replaced one after the other, so a new certificate may briefly exist
// together with the previous key. Such a state is reported only if two polls in a row
// find it.
func (r *Reloader) Poll() {
	r.warn()
	t, err := r.Files.read()
	if err == nil && t.equal(r.current.Load().contents) {
		r.invalid, r.reported = contents{}, false
		return
	}
	var m *bundle
	if err == nil {
		m, err = r.Files.parse(t, r.Self)
	}
	if err != nil {
		r.rejectFiles(t, err)
		return
	}
	r.invalid, r.reported = contents{}, false
	r.use(m)
}

// rejectFiles handles changed files that are invalid: the previous ones stay in use. It
// logs the error if the last poll found the same files.
func (r *Reloader) rejectFiles(t contents, err error) {
	if !r.invalid.equal(t) {
		r.invalid, r.reported = t, false
		return
	}
	if !r.reported {
		r.reported = true
		events.Fail(events.CertificateInvalid, err, "file", r.Files.Cert)
	}
}

func (r *Reloader) use(m *bundle) {
	r.current.Store(m)
	r.nextWarning = time.Time{}
	events.Log(events.CertificateLoaded, "file", r.Files.Cert, "ends", m.leaf.NotAfter)
	r.warn()
}

// warn logs once a day that the certificate expires soon.
func (r *Reloader) warn() {
	now := r.Clock.Now()
	expiry := r.current.Load().leaf.NotAfter
	if now.Before(expiry.Add(-warnBefore)) || now.Before(r.nextWarning) {
		return
	}
	r.nextWarning = now.Add(warnInterval)
	events.Log(events.CertificateExpiring, "file", r.Files.Cert, "ends", expiry)
}
