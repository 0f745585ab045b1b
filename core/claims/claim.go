package claims

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// Claim is a claim on one attempt of a keyed request.
type Claim struct {
	ID          dedupe.KeyID
	Fingerprint core.Fingerprint
	// Host and Incarnation name the agent that is to run the attempt.
	Host        core.HostName
	Incarnation core.Incarnation
	// Claimant is drawn at random for each request as it arrives at an entry. A
	// claimant whose answer was lost knows its claim by it.
	Claimant uint64
	// Attempt counts from 1.
	Attempt uint64
	// Expires is when the key ages out, in whole seconds; see Lifetime.
	Expires time.Time
}

// Lifetime is how long a key is remembered after its request's deadline.
const Lifetime = 24 * time.Hour

// ExpiryOf returns when a key with this request's deadline ages out, given how
// long keys are to be remembered. It is past the deadline, so that no attempt
// is under way when its claim ages out.
func ExpiryOf(deadline time.Time, lifetime time.Duration) time.Time {
	return deadline.Add(lifetime + time.Second - 1).Truncate(time.Second)
}

// Journals is the number of journals. It is no setting: two entries that
// disagreed on it would claim one key in two journals and both win.
const Journals = 4

// JournalOf returns the journal of a key.
func JournalOf(id dedupe.KeyID) int { return journalOf(id, Journals) }

func journalOf(id dedupe.KeyID, journals int) int {
	return int(xxhash.Sum64(id[:]) % uint64(journals))
}

// Rank orders entries for a journal by rendezvous hashing, the one in charge
// first. When an entry comes or goes, only journals that it leads change hands.
func Rank(journal int, entries []core.HostName) []core.HostName {
	ranked := slices.Clone(entries)
	weight := func(h core.HostName) uint64 {
		b := binary.BigEndian.AppendUint64(nil, uint64(journal))
		return xxhash.Sum64(append(b, h...))
	}
	slices.SortFunc(ranked, func(a, b core.HostName) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Result is the answer to a claim.
type Result uint8

// Results of claims. The zero value grants nothing.
const (
	// Unsure: the platform could not be reached in time. The claim may or may
	// not be recorded; the claimant must not hand its attempt over.
	Unsure Result = iota
	// Won: the claim is durable and the claimant may hand its attempt over.
	Won
	// Held: another claim is the key's latest; nothing was recorded.
	Held
)

// Answer is the answer to one Ask.
type Answer struct {
	// Token is the one the Ask carried.
	Token  uint64
	Result Result
	// Holder is the claim now in force, for Won and Held.
	Holder Claim
	// RetryAt is when to try again, for Unsure.
	RetryAt time.Time
}

// Ask asks a journal for a claim.
type Ask struct {
	// Token identifies the Ask in its Answer; it is unique in the process.
	Token uint64
	Claim Claim
	// GiveUp is when the claimant stops waiting.
	GiveUp time.Time
}
