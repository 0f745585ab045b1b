package dedupe

import (
	"crypto/sha256"
	"encoding/binary"

	"radishwell/core"
)

// KeyID identifies an owner's idempotency key. It is a truncated SHA-256, so that
// callers can't choose keys that collide with those of another owner, and every
// key takes the same space in memory and in the platform.
type KeyID [16]byte

// KeyOf returns the KeyID of an owner's key.
func KeyOf(owner core.OwnerName, key string) KeyID {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(owner)))
	h := sha256.New()
	h.Write(size[:])
	h.Write([]byte(owner))
	h.Write([]byte(key))
	var id KeyID
	copy(id[:], h.Sum(nil))
	return id
}
