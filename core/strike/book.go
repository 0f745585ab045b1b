package strike

import (
	"cmp"
	"encoding/binary"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// Book holds the strikes that one process knows. Each entry and each agent has
// one. It is not safe for concurrent use. The exported fields must be set before
// first use.
type Book struct {
	// Self is the host of this process and the source of its own records.
	Self core.HostName
	// MaxRecords bounds the book; the records that expire first are evicted first.
	MaxRecords int
	// Incarnations is set if the source of each strike is one run of an upstream's process, and no
	// process knows all requests at an upstream (RecordIncarnationCrash).
	Incarnations bool

	records map[core.Fingerprint][]Record
	size    int
}

// RecordCrash gives a strike to each distinct fingerprint that was in flight when
// the engine died, and returns the records to send to peers at once. The agent
// sends them before it answers the requests: a caller repeats a request once it
// has the failure, and by then all entries should have the records.
func (b *Book) RecordCrash(now time.Time, inFlight []core.Fingerprint) []Record {
	seen := distinct(inFlight)
	out := make([]Record, 0, len(seen))
	for _, f := range seen {
		r := b.ownRecord(now, f)
		r.Count++
		if len(seen) == 1 {
			r.Alone++
		}
		r.Expires = core.Later(now.Add(TTL), r.Expires.Add(1))
		b.upsert(r)
		out = append(out, r)
	}
	b.evict(now)
	return out
}

// Attempt is a request that was in progress at an upstream when the upstream crashed.
type Attempt struct {
	Fingerprint core.Fingerprint
	// Late is set if its answer had gone on for some time. Alone is set if it ran in a trial.
	Late, Alone bool
}

// RecordIncarnationCrash gives a strike to each distinct fingerprint that this process had in
// flight at an upstream that crashed, and returns those with new strikes. The upstream's name has
// to identify one run of its process: all processes that saw the crash produce the same records,
// so that each counts once.
func (b *Book) RecordIncarnationCrash(now time.Time, upstream core.HostName, attempts []Attempt) []core.Fingerprint {
	records := make([]Record, 0, len(attempts))
	for _, a := range attempts {
		records = append(records, Record{
			Fingerprint: a.Fingerprint, Source: upstream, Count: 1, Alone: uint32(core.CountIf(a.Alone)), Late: uint32(core.CountIf(a.Late)),
			Expires: core.Later(now.Add(TTL), b.clearMarkExpiry(a.Fingerprint).Add(1)),
		})
	}
	return b.Merge(now, records)
}

// RecordTrial records that a trial of a request was granted at an upstream, named as for
// RecordIncarnationCrash.
func (b *Book) RecordTrial(now time.Time, f core.Fingerprint, upstream core.HostName) {
	r := b.grants(now, f, upstream)
	r.Granted++
	b.Merge(now, []Record{r})
}

// VoidTrial records that the request did not run in a trial that RecordTrial recorded.
func (b *Book) VoidTrial(now time.Time, f core.Fingerprint, upstream core.HostName) {
	if r := b.grants(now, f, upstream); r.Granted > r.Void {
		r.Void++
		b.Merge(now, []Record{r})
	}
}

// grants returns a record of now with the grants of a request at an upstream that count.
func (b *Book) grants(now time.Time, f core.Fingerprint, upstream core.HostName) Record {
	r := Record{Fingerprint: f, Source: upstream, Expires: core.Later(now.Add(TTL), b.clearMarkExpiry(f).Add(1))}
	for have := range b.counting(now, f) {
		if have.Source == upstream {
			r.Granted, r.Void = have.Granted, have.Void
		}
	}
	return r
}

func distinct(list []core.Fingerprint) []core.Fingerprint {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

// ownRecord returns this process's record of a fingerprint, or a new one if it no
// longer counts. The expiry of a new record starts from that of the clear mark, if
// there is one.
func (b *Book) ownRecord(now time.Time, f core.Fingerprint) Record {
	for have := range b.counting(now, f) {
		if have.Source == b.Self {
			return have
		}
	}
	return Record{Fingerprint: f, Source: b.Self, Expires: b.clearMarkExpiry(f)}
}

// RecordPass records that a suspect ran alone and ended well, and returns the
// record to send to peers. The record expires with the strikes that it answers, so
// that it doesn't excuse a later crash.
func (b *Book) RecordPass(now time.Time, f core.Fingerprint) Record {
	strikes := b.Find(now, f).Expires
	r := b.ownRecord(now, f)
	r.Passed++
	r.Expires = core.Later(strikes, r.Expires.Add(1))
	b.upsert(r)
	b.evict(now)
	return r
}

// RecordKnownGood records that a fingerprint with strikes had ended well here
// before, and returns the record to send to peers. An entry calls it once for each
// fingerprint with new strikes for which Copies.TakeProven returns true.
func (b *Book) RecordKnownGood(now time.Time, f core.Fingerprint) Record {
	r := Record{Fingerprint: f, Source: b.Self, Expires: b.Find(now, f).Expires}
	b.upsert(r)
	b.evict(now)
	return r
}

// Clear voids all known strikes of a fingerprint and returns the clear mark to
// send to peers. It is for operators. Strikes of later crashes count again.
func (b *Book) Clear(now time.Time, f core.Fingerprint) Record {
	mark := Record{Fingerprint: f, Expires: now.Add(TTL)}
	for _, r := range b.records[f] {
		mark.Expires = core.Later(mark.Expires, r.Expires)
	}
	b.upsert(mark)
	b.evict(now)
	return mark
}

// Merge merges records of peers and returns the fingerprints of those that were
// new, in the order given. For each, an entry calls RecordKnownGood if the request
// has ended well there, and sends the result of RecordsOf to the host where it has
// the request in flight (Copies.HostOf), since the agent may have copies in its
// queue.
func (b *Book) Merge(now time.Time, records []Record) []core.Fingerprint {
	var changed []core.Fingerprint
	for _, r := range records {
		if r.Expires.After(now) && b.upsert(r) && !slices.Contains(changed, r.Fingerprint) {
			changed = append(changed, r.Fingerprint)
		}
	}
	b.evict(now)
	return changed
}

// TrialTime returns when the trial of a suspect may begin, or the zero time if the
// fingerprint is not a suspect. An entry holds the request until then and forwards
// it with all records known by that time.
func (b *Book) TrialTime(now time.Time, f core.Fingerprint) time.Time {
	found := b.Find(now, f)
	if found.Standing != Suspect {
		return time.Time{}
	}
	return found.Expires.Add(trialDelay - TTL)
}

// Records returns all records that count, in a stable order, to be sent to peers.
func (b *Book) Records(now time.Time) []Record {
	var out []Record
	for f := range b.records {
		out = append(out, b.RecordsOf(now, f)...)
	}
	slices.SortFunc(out, compareRecords)
	return out
}

// RecordsOf returns the records of one fingerprint that have not expired,
// including its clear mark. An entry sends them with the request, so that the
// agent can identify a suspect before it has the records from peers.
func (b *Book) RecordsOf(now time.Time, f core.Fingerprint) []Record {
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

// counting yields the records that count for a fingerprint, which are neither expired nor cleared.
func (b *Book) counting(now time.Time, f core.Fingerprint) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		mark := b.clearMarkExpiry(f)
		for _, r := range b.records[f] {
			if r.Source != "" && r.Expires.After(now) && r.Expires.After(mark) && !yield(r) {
				return
			}
		}
	}
}

// Find returns the sum of the records that count for a fingerprint, and its standing.
func (b *Book) Find(now time.Time, f core.Fingerprint) Finding {
	out := b.sum(now, f)
	if b.Incarnations {
		b.judge(now, &out)
	} else {
		out.setStanding()
	}
	return out
}

// sum returns the sum of the records that count for a fingerprint.
func (b *Book) sum(now time.Time, f core.Fingerprint) Finding {
	out := Finding{Fingerprint: f}
	for r := range b.counting(now, f) {
		out.Count += r.Count
		out.Alone += r.Alone
		out.Trials += r.trials()
		out.Late += r.Late
		out.Passed += r.Passed
		out.Known = out.Known || r.Count == 0 && r.Passed == 0 && r.Granted == 0
		out.Expires = core.Later(out.Expires, r.Expires)
	}
	return out
}

// CrashesOf returns the sources of the strikes that count against a fingerprint, in a stable
// order.
func (b *Book) CrashesOf(now time.Time, f core.Fingerprint) []core.HostName {
	var out []core.HostName
	for r := range b.counting(now, f) {
		if r.Count > 0 {
			out = append(out, r.Source)
		}
	}
	slices.Sort(out)
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

// Restricted returns the strikes against each fingerprint that is quarantined or suspect. A crash in
// a trial that others may explain is not marked as one.
func (b *Book) Restricted(now time.Time) map[core.Fingerprint][]Record {
	out := map[core.Fingerprint][]Record{}
	for f := range b.records {
		if b.Find(now, f).Standing != Clean {
			out[f] = b.storable(now, f)
		}
	}
	return out
}

// storable returns the records of a fingerprint for a store that lacks others. A crash in a trial that those may
// explain is not marked as one.
func (b *Book) storable(now time.Time, f core.Fingerprint) []Record {
	out := b.RecordsOf(now, f)
	for i, r := range out {
		if b.Incarnations && r.Alone > 0 && !b.isSolitary(now, r) {
			out[i].Alone = 0
		}
	}
	return out
}

// Crashed returns the records of the fingerprints with strikes that count, n fingerprints at most: those
// with the most strikes, and the latest of these. Crashes in trials are marked as by Restricted.
func (b *Book) Crashed(now time.Time, n int) [][]Record {
	var all []Finding
	for f := range b.records {
		if found := b.sum(now, f); found.Count > 0 {
			all = append(all, found)
		}
	}
	slices.SortFunc(all, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), b.Expires.Compare(a.Expires), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	out := make([][]Record, 0, min(n, len(all)))
	for _, found := range all[:min(n, len(all))] {
		out = append(out, b.storable(now, found.Fingerprint))
	}
	return out
}

// Refuse returns the refusal of a quarantined fingerprint, or nil. Entries call it
// before they queue a request, agents before they run it.
func (b *Book) Refuse(now time.Time, f core.Fingerprint) *core.Refusal {
	if b.Find(now, f).Standing != Quarantined {
		return nil
	}
	return core.Refuse(core.CodeQuarantined, "this request has crashed upstreams; operators can clear it")
}

// clearMarkExpiry returns the expiry of the clear mark, zero if there is none.
func (b *Book) clearMarkExpiry(f core.Fingerprint) time.Time {
	for _, r := range b.records[f] {
		if r.Source == "" {
			return r.Expires
		}
	}
	return time.Time{}
}

// upsert adds or replaces a record and reports whether it was new.
func (b *Book) upsert(r Record) bool {
	if b.records == nil {
		b.records = make(map[core.Fingerprint][]Record)
	}
	have := b.records[r.Fingerprint]
	for i := range have {
		if have[i].Source != r.Source {
			continue
		}
		if b.Incarnations && r.Source != "" {
			r = r.join(have[i])
			changed := r != have[i]
			have[i] = r
			return changed
		}
		if !r.supersedes(have[i]) {
			return false
		}
		have[i] = r
		return true
	}
	b.records[r.Fingerprint] = append(have, r)
	b.size++
	return true
}

// evict removes expired records and, beyond MaxRecords, those that expire first.
// Without it a caller could fill the memory of all processes with requests that
// share an engine with one that crashes it.
func (b *Book) evict(now time.Time) {
	if b.size <= b.MaxRecords {
		return
	}
	b.retain(func(r Record) bool { return r.Expires.After(now) })
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
	b.retain(func(r Record) bool { return r.Expires.After(last) })
}

func (b *Book) retain(keep func(Record) bool) {
	b.size = 0
	for f, records := range b.records {
		records = slices.DeleteFunc(records, func(r Record) bool { return !keep(r) })
		b.size += len(records)
		if len(records) == 0 {
			delete(b.records, f)
			continue
		}
		b.records[f] = records
	}
}

// TrialHost returns the host on which a suspect runs, chosen from those that may
// run it by rendezvous hashing; empty if there is none. All entries choose the
// same host, so that repeats of a suspect queue there instead of crashing several
// engines at once.
func TrialHost(f core.Fingerprint, hosts []core.HostName) core.HostName {
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
