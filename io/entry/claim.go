package entry

import (
	"time"

	"radishwell/core"
	"radishwell/core/claims"
	"radishwell/io/relay"
	"radishwell/wire"
)

// encodeSubmission returns a submission as a call to another entry, which sets GiveUp itself.
func encodeSubmission(a claims.Submission) *wire.ClaimCall { return encodeClaim(a.Claim) }

// encodeClaim returns a claim as it is sent to other entries.
func encodeClaim(c claims.Claim) *wire.ClaimCall {
	return &wire.ClaimCall{
		Key: c.ID[:], Fingerprint: uint64(c.Fingerprint), Host: string(c.Host), Incarnation: uint64(c.Incarnation),
		Claimant: c.Claimant, Attempt: c.Attempt, Expires: c.Expires.UnixNano(),
	}
}

// decodeClaim is the inverse of encodeClaim.
func decodeClaim(c *wire.ClaimCall) claims.Claim {
	out := claims.Claim{
		Fingerprint: core.Fingerprint(c.GetFingerprint()), Host: core.HostName(c.GetHost()),
		Incarnation: core.Incarnation(c.GetIncarnation()), Claimant: c.GetClaimant(), Attempt: c.GetAttempt(),
		Expires: relay.Time(c.GetExpires()),
	}
	copy(out.ID[:], c.GetKey())
	return out
}

// decodeSubmission returns the submission in a call of another entry, with the given GiveUp.
func decodeSubmission(c *wire.ClaimCall, giveUp time.Time) claims.Submission {
	return claims.Submission{Claim: decodeClaim(c), GiveUp: giveUp}
}

// encodeAnswer returns a journal's answer as the reply to another entry.
func encodeAnswer(a claims.Answer) *wire.ClaimReply {
	out := &wire.ClaimReply{Won: a.Result == claims.Won, Unavailable: a.Result == claims.Unsure}
	if a.Result != claims.Unsure {
		out.Holder = encodeClaim(a.Holder)
		return out
	}
	out.RetryAt = a.RetryAt.UnixNano()
	return out
}

// decodeAnswer is the inverse of encodeAnswer. A reply without a holder counts as unsure.
func decodeAnswer(r *wire.ClaimReply) claims.Answer {
	switch {
	case r.GetUnavailable() || r.GetHolder() == nil:
		return claims.Answer{Result: claims.Unsure, RetryAt: relay.Time(r.GetRetryAt())}
	case r.GetWon():
		return claims.Answer{Result: claims.Won, Holder: decodeClaim(r.GetHolder())}
	default:
		return claims.Answer{Result: claims.Held, Holder: decodeClaim(r.GetHolder())}
	}
}
