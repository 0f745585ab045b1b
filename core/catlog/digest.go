package catlog

import "crypto/sha256"

// DigestOf returns the digest under which a bearer key is listed.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }
