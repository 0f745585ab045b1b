package catlog

import (
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"radishwell/core"
	"radishwell/core/strict"
)

// Upper bounds of values. They are far above the needs of any fleet: they keep sums
// of limits from overflowing, and catch a value that has a few digits too many.
const (
	maxCount        = 1_000_000
	maxRate         = 1_000_000
	maxMemory       = 64 * core.TiB
	maxAccelerators = 64
	maxNameLen      = 63
	digestLen       = 64
)

// checker collects the faults of one entry.
type checker struct {
	doc    *strict.Document
	faults []Fault
}

func (c *checker) fail(id CheckID, key, reason string) {
	c.faults = append(c.faults, fault(id, key, reason))
}

// checkSpec runs the checks of a single entry on a decoded spec.
func checkSpec(s spec, doc *strict.Document) []Fault {
	c := &checker{doc: doc}
	c.name("", s.name)
	switch s.kind {
	case core.KindModel:
		c.model(s.model)
	case core.KindAdapter:
		c.adapter(s.adapter, s.name)
	case core.KindOwner:
		c.owner(s.owner)
	case core.KindService:
		c.service(s.service)
	}
	return c.faults
}

func (c *checker) model(m *core.ModelSpec) {
	c.need("owner", "service", "class", "memory")
	c.reference("owner", string(m.Owner))
	c.reference("service", string(m.Service))
	c.memory(m.Memory)
	c.count("accelerators", m.Accelerators, maxAccelerators)
	c.limits("limits", m.Limits, "replicas", "concurrency", "rate", "burst", "queue", "queue-bytes")
	c.sharedWith(m.SharedWith, m.Owner)
}

func (c *checker) adapter(a *core.AdapterSpec, name string) {
	c.need("owner", "base", "class", "memory")
	c.reference("owner", string(a.Owner))
	c.reference("base", string(a.Base))
	if a.Base != "" && string(a.Base) == name {
		c.fail(CheckSelfBase, "base", "names the adapter itself")
	}
	c.memory(a.Memory)
	c.limits("limits", a.Limits, "replicas", "concurrency", "rate", "burst", "queue", "queue-bytes")
	c.sharedWith(a.SharedWith, a.Owner)
}

func (c *checker) owner(o *core.OwnerSpec) {
	callers, digests := map[core.CallerName]bool{}, map[string]bool{}
	for i, k := range o.Keys {
		at := "keys[" + strconv.Itoa(i) + "]"
		c.name(at+".caller", string(k.Caller))
		if callers[k.Caller] {
			c.fail(CheckCallerDuplicate, at+".caller", strconv.Quote(string(k.Caller))+" has a key further up")
		}
		callers[k.Caller] = true
		c.digest(at+".digest", k.Digest, digests)
	}
	c.limits("limits", o.Limits, "concurrency", "rate", "burst", "queue", "queue-bytes", "memory")
	c.limits("caller-limits", o.CallerLimits, "concurrency", "rate", "burst", "queue", "queue-bytes")
	c.callerLimits(o)
}

func (c *checker) digest(key, text string, seen map[string]bool) {
	if _, ok := ParseDigest(text); !ok {
		c.fail(CheckDigest, key, "is not 64 lower-case hexadecimal digits")
		return
	}
	if seen[text] {
		c.fail(CheckDigestDuplicate, key, "is listed further up")
	}
	seen[text] = true
}

// callerLimits checks that no limit of a single caller exceeds the owner's, if both
// are set. A caller's limit above the owner's is certainly a mistake.
func (c *checker) callerLimits(o *core.OwnerSpec) {
	over := func(key string, caller, owner float64) {
		if owner > 0 && caller > owner {
			c.fail(CheckCallerLimits, "caller-limits."+key, "is above the owner's own limit")
		}
	}
	over("concurrency", float64(o.CallerLimits.Concurrency), float64(o.Limits.Concurrency))
	over("rate", o.CallerLimits.Rate, o.Limits.Rate)
	over("queue", float64(o.CallerLimits.Queue), float64(o.Limits.Queue))
	over("queue-bytes", float64(o.CallerLimits.QueueBytes), float64(o.Limits.QueueBytes))
}

func (c *checker) service(s *core.ServiceSpec) {
	c.need("type")
	switch s.Type {
	case core.EngineService:
		// The class is not listed, since the JSON form of the struct always contains it.
		c.forbid("an engine service", "owner", "shared-with", "repeatable")
		c.limits("limits", s.Limits, "concurrency", "rate", "burst", "queue", "queue-bytes")
	case core.PlainService:
		c.forbid("a plain service", "checks-fence")
		c.need("owner", "class")
		c.reference("owner", string(s.Owner))
		c.repeatRule(s.Repeatable)
		c.limits("limits", s.Limits, "concurrency", "rate", "burst", "queue", "queue-bytes")
		c.sharedWith(s.SharedWith, s.Owner)
	default:
		if c.doc.Has("type") {
			c.fail(CheckServiceType, "type", strconv.Quote(string(s.Type))+" is neither engine nor plain")
		}
	}
}

func (c *checker) repeatRule(r core.RepeatRule) {
	switch r {
	case "", core.RepeatSafe, core.RepeatAll, core.RepeatNone:
	default:
		c.fail(CheckRepeatRule, "repeatable", strconv.Quote(string(r))+" is none of safe-methods, all and none")
	}
}

// need reports required keys that are absent.
func (c *checker) need(keys ...string) {
	for _, key := range keys {
		if !c.doc.Has(key) {
			c.fail(CheckMissing, key, "is missing")
		}
	}
}

// forbid reports keys that have no meaning for a type of service.
func (c *checker) forbid(of string, keys ...string) {
	for _, key := range keys {
		if c.doc.Has(key) {
			c.fail(CheckWrongType, key, "has no meaning for "+of)
		}
	}
}

// reference checks the form of the name of another entry. need reports its absence.
func (c *checker) reference(key, name string) {
	if c.doc.Has(key) {
		c.name(key, name)
	}
}

func (c *checker) name(key, name string) {
	if !validName(name) {
		c.fail(CheckName, key, strconv.Quote(truncate(name))+" is no name: 1 to 63 lower-case letters, digits, '-', '.' or '_', with a letter or digit at both ends")
	}
}

// truncate bounds the length of a name that is quoted in a reason.
func truncate(s string) string {
	if len(s) > maxNameLen {
		return s[:maxNameLen]
	}
	return s
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameLen {
		return false
	}
	for _, r := range s {
		if !isAlnum(r) && !strings.ContainsRune("-._", r) {
			return false
		}
	}
	return isAlnum(rune(s[0])) && isAlnum(rune(s[len(s)-1]))
}

func isAlnum(r rune) bool { return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' }

func (c *checker) memory(b core.Bytes) {
	if !c.doc.Has("memory") {
		return
	}
	if b <= 0 {
		c.fail(CheckMemory, "memory", "has to be more than nothing")
	}
	c.amount("memory", b)
}

func (c *checker) amount(key string, b core.Bytes) {
	switch {
	case b < 0:
		c.fail(CheckNegative, key, "is negative")
	case b > maxMemory:
		c.fail(CheckTooLarge, key, "is above "+maxMemory.String())
	}
}

func (c *checker) count(key string, n, limit int) {
	switch {
	case n < 0:
		c.fail(CheckNegative, key, "is negative")
	case n > limit:
		c.fail(CheckTooLarge, key, "is above "+strconv.Itoa(limit))
	}
}

func (c *checker) sharedWith(names []core.OwnerName, owner core.OwnerName) {
	seen := map[core.OwnerName]bool{owner: true}
	for i, n := range names {
		key := "shared-with[" + strconv.Itoa(i) + "]"
		if n == everyone {
			if len(names) > 1 {
				c.fail(CheckSharedWith, key, "stands for all owners, so that no other belongs beside it")
			}
			continue
		}
		c.name(key, string(n))
		if seen[n] {
			c.fail(CheckSharedWith, key, strconv.Quote(truncate(string(n)))+" may use it already")
		}
		seen[n] = true
	}
}

// everyone is the name in shared-with that stands for all owners.
const everyone core.OwnerName = "*"

// limits checks a set of limits under a key. Only the allowed ones may be set.
func (c *checker) limits(at string, l core.Limits, allowed ...string) {
	for _, key := range []string{"replicas", "concurrency", "rate", "burst", "queue", "queue-bytes", "memory"} {
		if c.doc.Has(at+"."+key) && !slices.Contains(allowed, key) {
			c.fail(CheckLimitApplies, at+"."+key, "has no meaning here; limits here are "+strings.Join(allowed, ", "))
		}
	}
	c.count(at+".replicas", l.Replicas, maxCount)
	c.count(at+".concurrency", l.Concurrency, maxCount)
	c.count(at+".burst", l.Burst, maxCount)
	c.count(at+".queue", l.Queue, maxCount)
	c.amount(at+".queue-bytes", l.QueueBytes)
	c.amount(at+".memory", l.Memory)
	c.rate(at, l)
}

// rate checks rate and burst together. A burst without a rate limits nothing, and a
// rate below one request a second without a burst admits no request.
func (c *checker) rate(at string, l core.Limits) {
	switch {
	case l.Rate < 0:
		c.fail(CheckNegative, at+".rate", "is negative")
	case l.Rate > maxRate:
		c.fail(CheckTooLarge, at+".rate", "is above "+strconv.Itoa(maxRate))
	case l.Rate == 0 && l.Burst > 0:
		c.fail(CheckBurst, at+".burst", "needs a rate beside it")
	case l.Rate > 0 && l.Rate < 1 && l.Burst == 0:
		c.fail(CheckBurst, at+".rate", "below one in a second needs a burst beside it")
	}
}

// Digest is the SHA-256 of a bearer key.
type Digest = core.KeyDigest

// ParseDigest decodes a digest of 64 lower-case hexadecimal digits.
func ParseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != digestLen || strings.ToLower(text) != text {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}
