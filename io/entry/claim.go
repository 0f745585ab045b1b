package entry

import (
	"time"

	"radishwell/core"
	"radishwell/core/claims"
	"radishwell/io/relay"
	"radishwell/wire"
)

func callOf(a claims.Submission) *wire.ClaimCall { return claimOut(a.Claim) }

func claimOut(c claims.Claim) *wire.ClaimCall {
	return &wire.ClaimCall{
		Key: c.ID[:], Fingerprint: uint64(c.Fingerprint), Host: string(c.Host), Incarnation: uint64(c.Incarnation),
		Claimant: c.Claimant, Attempt: c.Attempt, Expires: c.Expires.UnixNano(),
	}
}

func claimIn(c *wire.ClaimCall) claims.Claim {
	out := claims.Claim{
		Fingerprint: core.Fingerprint(c.GetFingerprint()), Host: core.HostName(c.GetHost()),
		Incarnation: core.Incarnation(c.GetIncarnation()), Claimant: c.GetClaimant(), Attempt: c.GetAttempt(),
		Expires: relay.Time(c.GetExpires()),
	}
	copy(out.ID[:], c.GetKey())
	return out
}

func askOf(c *wire.ClaimCall, giveUp time.Time) claims.Submission {
	return claims.Submission{Claim: claimIn(c), GiveUp: giveUp}
}

func replyTo(a claims.Answer) *wire.ClaimReply {
	out := &wire.ClaimReply{Won: a.Result == claims.Won, Unavailable: a.Result == claims.Unsure}
	if a.Result != claims.Unsure {
		out.Holder = claimOut(a.Holder)
		return out
	}
	out.RetryAt = a.RetryAt.UnixNano()
	return out
}

func answerOf(r *wire.ClaimReply) claims.Answer {
	switch {
	case r.GetUnavailable() || r.GetHolder() == nil:
		return claims.Answer{Result: claims.Unsure, RetryAt: relay.Time(r.GetRetryAt())}
	case r.GetWon():
		return claims.Answer{Result: claims.Won, Holder: claimIn(r.GetHolder())}
	default:
		return claims.Answer{Result: claims.Held, Holder: claimIn(r.GetHolder())}
	}
}
