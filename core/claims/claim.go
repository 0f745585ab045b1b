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

// Claim is a claim to the exclusive right to run one attempt of a keyed request. It
// is requested by a Submission and grants the right once a journal has recorded it,
// which the Result Won reports.
type Claim struct {
	ID          dedupe.KeyID
	Fingerprint core.Fingerprint
	// Host and Incarnation identify the agent that is to run the attempt.
	Host        core.HostName
	Incarnation core.Incarnation
	// Claimant is drawn at random for each request as it arrives at an entry. A
	// claimant that missed the journal's answer recognizes its own claim by it.
	Claimant uint64
	// Attempt is the number of the attempt, from 1.
	Attempt uint64
	// Expires is when the key expires, in whole seconds; see Lifetime.
	Expires time.Time
}

// Lifetime is how long a key is remembered after its request's deadline.
const Lifetime = 24 * time.Hour

// ExpiryOf returns when the key of a request with the given deadline expires if
// keys are remembered for lifetime after it, rounded up to whole seconds. A claim
// never expires before its deadline, so no attempt is in flight when it does.
func ExpiryOf(deadline time.Time, lifetime time.Duration) time.Time {
	return deadline.Add(lifetime + time.Second - 1).Truncate(time.Second)
}

// Journals is the number of journals. It isn't configurable: two entries with
// different values would claim the same key in two journals, and both would win.
const Journals = 4

// JournalOf returns the journal of a key.
func JournalOf(id dedupe.KeyID) int { return journalOf(id, Journals) }

func journalOf(id dedupe.KeyID, journals int) int {
	return int(xxhash.Sum64(id[:]) % uint64(journals))
}

// Rank orders entries for a journal by rendezvous hashing. The first one writes
// the journal. When an entry joins or leaves, only the journals that it writes
// move.
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

// Result is the result of submitting a claim to a journal.
type Result uint8

// Results of claims. The zero value grants nothing.
const (
	// Unsure: the platform could not be reached in time. The claim may or may not
	// have been recorded; the claimant must not hand over its attempt.
	Unsure Result = iota
	// Won: the claim is durable and the claimant may hand over its attempt.
	Won
	// Held: another claim is the key's latest, and nothing was recorded.
	Held
)

// Answer is a journal's answer to a Submission.
type Answer struct {
	// Token is the token of the Submission.
	Token  uint64
	Result Result
	// Holder is the key's latest claim; set for Won and Held.
	Holder Claim
	// RetryAt is when to retry; set for Unsure.
	RetryAt time.Time
}

// Submission is a claim submitted to a journal.
type Submission struct {
	// Token identifies the Submission in its Answer. It is unique within the
	// process.
	Token uint64
	Claim Claim
	// GiveUp is when the claimant stops waiting for the answer.
	GiveUp time.Time
}
