package core

import (
	"crypto/sha256"
	"strings"
)

// KeyDigest is the SHA-256 of a bearer key. The keys themselves are neither
// stored nor logged.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest under which the catalogue lists a bearer key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// maxKeyBytes is the longest bearer key accepted.
const maxKeyBytes = 4096

// ReadBearer returns the digest of the bearer key in the values of a request's
// Authorization field. Its refusal has CodeBadKey; the reason never quotes the
// field, which may hold a secret.
func ReadBearer(values []string) (KeyDigest, *Refusal) {
	if len(values) > 1 {
		return KeyDigest{}, Refuse(CodeBadKey, "the Authorization field comes more than once")
	}
	if len(values) == 0 {
		return KeyDigest{}, Refuse(CodeBadKey, "send a key as Authorization: Bearer KEY")
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	switch {
	case !ok || !strings.EqualFold(scheme, "Bearer") || key == "":
		return KeyDigest{}, Refuse(CodeBadKey, "send a key as Authorization: Bearer KEY")
	case len(key) > maxKeyBytes:
		return KeyDigest{}, Refuse(CodeBadKey, "the key is too long")
	}
	return DigestOf(key), nil
}
