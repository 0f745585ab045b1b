package certs

import (
	"context"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/io/events"
)

// Thresholds of the Keeper. A second between looks puts a change in force as
// quickly as a catalogue edit and costs a few reads of small files. A week of
// warning leaves time over a weekend and holidays.
const (
	pollEvery    = time.Second
	warnBefore   = 7 * 24 * time.Hour
	warnInterval = 24 * time.Hour
)

// Keeper holds the newest usable version of a set of TLS files. Its fields are
// set before Load.
type Keeper struct {
	Files Files
	// Self is what the certificate has to name; the zero Identity for a
	// certificate that is shown to callers.
	Self  Identity
	Clock core.Clock

	now atomic.Pointer[material]
	// The rest belongs to Load and Run.
	suspect  texts
	reported bool
	warnAt   time.Time
}

// Load reads the files for the first time. Its error means that they cannot be
// used.
func (k *Keeper) Load() error {
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

// Run reads the files again when they change, until the context ends. It returns
// nil then.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(pollEvery)
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

// Poll looks at the files once. Run calls it every second.
//
// Files are replaced one after the other, so that a certificate may stand beside
// the key of the one before for a moment. Such a state is not reported unless it
// is there at two looks in a row.
func (k *Keeper) Poll() {
	k.warn()
	t, err := k.Files.read()
	if err == nil && t.equal(k.now.Load().texts) {
		k.suspect, k.reported = texts{}, false
		return
	}
	var m *material
	if err == nil {
		m, err = k.Files.parse(t, k.Self)
	}
	if err != nil {
		k.distrust(t, err)
		return
	}
	k.suspect, k.reported = texts{}, false
	k.use(m)
}

// distrust keeps the former files, and reports the new ones at the second look.
func (k *Keeper) distrust(t texts, err error) {
	if !k.suspect.equal(t) {
		k.suspect, k.reported = t, false
		return
	}
	if !k.reported {
		k.reported = true
		events.Fail(events.CertificateInvalid, err, "file", k.Files.Cert)
	}
}

func (k *Keeper) use(m *material) {
	k.now.Store(m)
	k.warnAt = time.Time{}
	events.Log(events.CertificateLoaded, "file", k.Files.Cert, "ends", m.leaf.NotAfter)
	k.warn()
}

// warn reports a certificate that ends soon, once a day.
func (k *Keeper) warn() {
	now := k.Clock.Now()
	ends := k.now.Load().leaf.NotAfter
	if now.Before(ends.Add(-warnBefore)) || now.Before(k.warnAt) {
		return
	}
	k.warnAt = now.Add(warnInterval)
	events.Log(events.CertificateExpiring, "file", k.Files.Cert, "ends", ends)
}
