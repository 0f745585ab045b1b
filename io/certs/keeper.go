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
func (k *Reloader) Load() error {
	t, err := k.Files.read()
	if err != nil {
		return err
	}
	m, err := k.Files.parse(t, k.Self)
	if err != nil {
		return err
	}
	k.use(m)
	return nil
}

// Run reads the files again when they change. It returns nil when ctx ends.
func (k *Reloader) Run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			k.Poll()
		}
	}
}

// Poll checks the files once for changes. Run calls it every second.
//
// Files are replaced one after the other, so a new certificate may briefly exist
// together with the previous key. Such a state is reported only if two polls in a row
// find it.
func (k *Reloader) Poll() {
	k.warn()
	t, err := k.Files.read()
	if err == nil && t.equal(k.current.Load().contents) {
		k.invalid, k.reported = contents{}, false
		return
	}
	var m *bundle
	if err == nil {
		m, err = k.Files.parse(t, k.Self)
	}
	if err != nil {
		k.rejectFiles(t, err)
		return
	}
	k.invalid, k.reported = contents{}, false
	k.use(m)
}

// rejectFiles handles changed files that are invalid: the previous ones stay in use. It
// logs the error if the last poll found the same files.
func (k *Reloader) rejectFiles(t contents, err error) {
	if !k.invalid.equal(t) {
		k.invalid, k.reported = t, false
		return
	}
	if !k.reported {
		k.reported = true
		events.Fail(events.CertificateInvalid, err, "file", k.Files.Cert)
	}
}

func (k *Reloader) use(m *bundle) {
	k.current.Store(m)
	k.nextWarning = time.Time{}
	events.Log(events.CertificateLoaded, "file", k.Files.Cert, "ends", m.leaf.NotAfter)
	k.warn()
}

// warn logs once a day that the certificate expires soon.
func (k *Reloader) warn() {
	now := k.Clock.Now()
	expiry := k.current.Load().leaf.NotAfter
	if now.Before(expiry.Add(-warnBefore)) || now.Before(k.nextWarning) {
		return
	}
	k.nextWarning = now.Add(warnInterval)
	events.Log(events.CertificateExpiring, "file", k.Files.Cert, "ends", expiry)
}
