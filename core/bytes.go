package core

import (
	"math"
	"strconv"
	"strings"
)

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// Binary units of Bytes.
const (
	KiB Bytes = 1 << (10 * (iota + 1))
	MiB
	GiB
	TiB
)

var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// SizeError is returned for a text that isn't a valid amount of bytes.
type SizeError struct{ Text string }

// Error implements error.
func (e *SizeError) Error() string {
	return quote(e.Text) + " is no size; write a whole number and B, KiB, MiB, GiB or TiB"
}

// String returns the amount in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts a whole number
// followed by a unit, as in "8GiB" or "512 MiB". Its error is a SizeError.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.size) {
			break
		}
		*b = Bytes(n) * u.size
		return nil
	}
	return &SizeError{Text: s}
}

func quote(s string) string { return strconv.Quote(s) }
