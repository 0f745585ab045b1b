package strike

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// Book holds the strikes that one process knows. Entries and agents have one
// each. It is not safe for concurrent use. Fields are set before the first
// call.
type Book struct {
	// Self is the host of this process, the source of its own records.
	Self core.HostName
	// MaxRecords bounds the book; the records that expire first go first.
	MaxRecords int

	records map[core.Fingerprint][]Record
	size    int
}

// Crashed gives a strike to each distinct fingerprint that was in flight when
// the engine died, and returns the records to send to peers at once. The agent
// sends them before it answers the requests: a caller repeats a request after
// it has heard of the failure, and by then all entries should know.
func (b *Book) Crashed(now time.Time, inFlight []core.Fingerprint) []Record {
	seen := slices.Clone(inFlight)
	slices.Sort(seen)
	seen = slices.Compact(seen)
	out := make([]Record, 0, len(seen))
	for _, f := range seen {
		r := b.own(now, f)
		r.Count++
		if len(seen) == 1 {
			r.Alone++
		}
		r.Expires = latest(now.Add(TTL), r.Expires.Add(1))
		b.put(r)
		out = append(out, r)
	}
	b.shrink(now)
	return out
}

// own returns this process' record of a fingerprint, if it still counts. Its
// expiry is past that of the clear mark, if there is one.
func (b *Book) own(now time.Time, f core.Fingerprint) Record {
	r := Record{Fingerprint: f, Source: b.Self}
	mark := b.cleared(f)
	for _, have := range b.records[f] {
		if have.Source == b.Self && have.Expires.After(now) && have.Expires.After(mark) {
			return have
		}
	}
	r.Expires = mark
	return r
}

// Passed notes that a suspect ran alone to a good end, and returns the record
// to send to peers. It expires with the strikes it answers, so that it doesn't
// excuse a later crash.
func (b *Book) Passed(now time.Time, f core.Fingerprint) Record {
	strikes := b.Find(now, f).Expires
	r := b.own(now, f)
	r.Passed++
	r.Expires = latest(strikes, r.Expires.Add(1))
	b.put(r)
	b.shrink(now)
	return r
}

// Known notes that a fingerprint that was struck had ended well here before,
// and returns the record to send to peers. An entry calls it once for each
// struck fingerprint for which Copies.Take is true.
func (b *Book) Known(now time.Time, f core.Fingerprint) Record {
	r := Record{Fingerprint: f, Source: b.Self, Expires: b.Find(now, f).Expires}
	b.put(r)
	b.shrink(now)
	return r
}

// Clear voids all strikes known against a fingerprint and returns the mark to
// send to peers. Operators call it. Strikes of later crashes count again.
func (b *Book) Clear(now time.Time, f core.Fingerprint) Record {
	mark := Record{Fingerprint: f, Expires: now.Add(TTL)}
	for _, r := range b.records[f] {
		mark.Expires = latest(mark.Expires, r.Expires)
	}
	b.put(mark)
	b.shrink(now)
	return mark
}

// Merge takes records of peers and returns the fingerprints of those that were
// new, in the order given. For each, an entry calls Known if it knows the
// request to end well, and sends Against on to the host where it has the request
// in flight (Copies.At): the agent may have copies in its queue.
func (b *Book) Merge(now time.Time, records []Record) []core.Fingerprint {
	var changed []core.Fingerprint
	for _, r := range records {
		if r.Expires.After(now) && b.put(r) && !slices.Contains(changed, r.Fingerprint) {
			changed = append(changed, r.Fingerprint)
		}
	}
	b.shrink(now)
	return changed
}

// Settled returns when a suspect may be tried. An entry holds it until then and
// hands it over with all that is known against it by that time; a zero time
// means that it isn't a suspect.
func (b *Book) Settled(now time.Time, f core.Fingerprint) time.Time {
	found := b.Find(now, f)
	if found.Standing != Suspect {
		return time.Time{}
	}
	return found.Expires.Add(settle - TTL)
}

// Records returns all records that count, in a stable order, to be sent to
// peers.
func (b *Book) Records(now time.Time) []Record {
	var out []Record
	for f := range b.records {
		out = append(out, b.Against(now, f)...)
	}
	slices.SortFunc(out, compareRecords)
	return out
}

// Against returns the records of one fingerprint that have not expired, its
// clear mark included. An entry sends them along with the request, so that the
// agent knows a suspect before it has heard of it from peers.
func (b *Book) Against(now time.Time, f core.Fingerprint) []Record {
	var out []Record
	for _, r := range b.records[f] {
		if r.Expires.After(now) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

func compareRecords(a, b Record) int {
	if c := cmp.Compare(a.Fingerprint, b.Fingerprint); c != 0 {
		return c
	}
	return cmp.Compare(a.Source, b.Source)
}

// Find returns what is held against a fingerprint.
func (b *Book) Find(now time.Time, f core.Fingerprint) Finding {
	out := Finding{Fingerprint: f}
	mark := b.cleared(f)
	for _, r := range b.records[f] {
		if r.Source == "" || !r.Expires.After(now) || !r.Expires.After(mark) {
			continue
		}
		out.Count += r.Count
		out.Alone += r.Alone
		out.Passed += r.Passed
		out.Known = out.Known || r.Count == 0 && r.Passed == 0
		out.Expires = latest(out.Expires, r.Expires)
	}
	out.judge()
	return out
}

// List returns all fingerprints that are not clean, in a stable order.
func (b *Book) List(now time.Time) []Finding {
	var out []Finding
	for f := range b.records {
		if found := b.Find(now, f); found.Standing != Clean {
			out = append(out, found)
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Refuse returns the refusal of a quarantined fingerprint, or nil. Entries ask
// before they queue a request, agents before they run it.
func (b *Book) Refuse(now time.Time, f core.Fingerprint) *core.Refusal {
	if b.Find(now, f).Standing != Quarantined {
		return nil
	}
	return core.Refuse(core.CodeQuarantined, "this request has crashed upstreams; operators can clear it")
}

// cleared returns the expiry of the clear mark; zero where there is none.
func (b *Book) cleared(f core.Fingerprint) time.Time {
	for _, r := range b.records[f] {
		if r.Source == "" {
			return r.Expires
		}
	}
	return time.Time{}
}

// put joins a record and tells whether it was new.
func (b *Book) put(r Record) bool {
	if b.records == nil {
		b.records = make(map[core.Fingerprint][]Record)
	}
	have := b.records[r.Fingerprint]
	for i := range have {
		if have[i].Source != r.Source {
			continue
		}
		if !r.newer(have[i]) {
			return false
		}
		have[i] = r
		return true
	}
	b.records[r.Fingerprint] = append(have, r)
	b.size++
	return true
}

// shrink drops expired records, and, beyond the bound, those that expire first.
// Without it a caller could fill the memory of all processes with requests that
// share an engine with one that crashes.
func (b *Book) shrink(now time.Time) {
	if b.size <= b.MaxRecords {
		return
	}
	b.keep(func(r Record) bool { return r.Expires.After(now) })
	if b.size <= b.MaxRecords {
		return
	}
	all := make([]time.Time, 0, b.size)
	for _, records := range b.records {
		for _, r := range records {
			all = append(all, r.Expires)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	last := all[b.size-b.MaxRecords*3/4-1]
	b.keep(func(r Record) bool { return r.Expires.After(last) })
}

func (b *Book) keep(wanted func(Record) bool) {
	b.size = 0
	for f, records := range b.records {
		records = slices.DeleteFunc(records, func(r Record) bool { return !wanted(r) })
		b.size += len(records)
		if len(records) == 0 {
			delete(b.records, f)
			continue
		}
		b.records[f] = records
	}
}

// Trial returns the host on which a suspect runs, out of those that may run it,
// by rendezvous hashing. All entries choose the same one, so that the repeats
// of a suspect wait for each other there instead of crashing several engines at
// once. It is empty where there is no host.
func Trial(f core.Fingerprint, hosts []core.HostName) core.HostName {
	var best core.HostName
	var most uint64
	for _, h := range hosts {
		b := binary.BigEndian.AppendUint64(nil, uint64(f))
		w := xxhash.Sum64(append(b, h...))
		if best == "" || w > most || w == most && h < best {
			best, most = h, w
		}
	}
	return best
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
