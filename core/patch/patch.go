package patch

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// blockSize is the length in bytes of the blocks of the base that are looked up in the target.
// Shorter blocks find more in common and cost more time.
const blockSize = 32

// minCopy is the length in bytes from which a copy is shorter than an insertion.
const minCopy = 12

// CorruptError reports a patch that is no patch for its base.
type CorruptError struct{ Reason string }

// Error implements error.
func (e *CorruptError) Error() string { return "corrupt patch: " + e.Reason }

// writer builds a patch. Each instruction is the number of bytes to insert, these bytes, the number
// of bytes to copy, and where from, as the distance from the end of the copy before it.
type writer struct {
	out    []byte
	target []byte
	// done is the length of the target that the instructions cover, copied the end of the last copy
	// in the base.
	done, copied int
}

// copy covers the target up to end: what is new, then n bytes from an offset of the base.
func (w *writer) copy(end, from, n int) {
	w.out = binary.AppendUvarint(w.out, uint64(end-n-w.done))
	w.out = append(w.out, w.target[w.done:end-n]...)
	w.out = binary.AppendUvarint(w.out, uint64(n))
	w.out = binary.AppendVarint(w.out, int64(from-w.copied))
	w.done, w.copied = end, from+n
}

// Make returns a patch from which Apply restores the target.
func Make(base, target []byte) []byte {
	w := &writer{target: target}
	w.out = binary.AppendUvarint(w.out, uint64(len(target)))
	w.out = binary.BigEndian.AppendUint64(w.out, xxhash.Sum64(target))
	head := commonPrefix(base, target)
	if head < minCopy {
		head = 0
	}
	if head > 0 {
		w.copy(head, 0, head)
	}
	tail := commonSuffix(base[head:], target[head:])
	if tail < minCopy {
		tail = 0
	}
	w.middle(base, head, len(base)-tail, len(target)-tail)
	if tail > 0 {
		w.copy(len(target), len(base)-tail, tail)
	} else if w.done < len(target) {
		w.copy(len(target), w.copied, 0)
	}
	return w.out
}

// middle covers the target up to end with copies from base[from:to], as far as they have blocks in
// common.
func (w *writer) middle(base []byte, from, to, end int) {
	if to-from < blockSize || end-w.done < blockSize {
		return
	}
	blocks := make(map[uint64]int, (to-from)/blockSize)
	for i := from; i+blockSize <= to; i += blockSize {
		blocks[hashOf(base[i:i+blockSize])] = i
	}
	roll := rolling{}
	roll.start(w.target[w.done:])
	for i := w.done; i+blockSize <= end; {
		at, ok := blocks[roll.sum]
		if !ok || !bytes.Equal(base[at:at+blockSize], w.target[i:i+blockSize]) {
			if i+blockSize < end {
				roll.next(w.target[i], w.target[i+blockSize])
			}
			i++
			continue
		}
		back := commonSuffix(base[from:at], w.target[w.done:i])
		n := blockSize + commonPrefix(base[at+blockSize:to], w.target[i+blockSize:end])
		w.copy(i+n, at-back, n+back)
		i += n
		if i+blockSize <= end {
			roll.start(w.target[i:])
		}
	}
}

// rolling is the hash of a block that moves over a text.
type rolling struct{ sum uint64 }

const prime = 0x9e3779b185ebca87

// oldest is the factor of the first byte of a block in its hash.
var oldest = func() uint64 {
	f := uint64(1)
	for range blockSize - 1 {
		f *= prime
	}
	return f
}()

func hashOf(block []byte) uint64 {
	var sum uint64
	for _, b := range block {
		sum = sum*prime + uint64(b) + 1
	}
	return sum
}

func (r *rolling) start(text []byte) { r.sum = hashOf(text[:blockSize]) }

func (r *rolling) next(out, in byte) {
	r.sum = (r.sum-(uint64(out)+1)*oldest)*prime + uint64(in) + 1
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i+8 <= n && binary.NativeEndian.Uint64(a[i:]) == binary.NativeEndian.Uint64(b[i:]) {
		i += 8
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i+8 <= n && binary.NativeEndian.Uint64(a[len(a)-i-8:]) == binary.NativeEndian.Uint64(b[len(b)-i-8:]) {
		i += 8
	}
	for i < n && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	return i
}

// Apply returns the target of a patch. Its error is a CorruptError, among others if the target is
// longer than limit bytes or the patch is for another base.
func Apply(base, patch []byte, limit int) ([]byte, error) {
	r := reader{rest: patch}
	length := r.uvarint()
	if length > uint64(limit) {
		return nil, &CorruptError{Reason: "the target is too long"}
	}
	sum := r.bytes(8)
	out := make([]byte, 0, length)
	copied := 0
	for !r.failed && uint64(len(out)) < length {
		out = append(out, r.bytes(r.uvarint())...)
		n, from := r.uvarint(), copied+int(r.varint())
		if r.failed || from < 0 || from > len(base) || n > uint64(len(base)-from) || uint64(len(out))+n > length {
			return nil, &CorruptError{Reason: "a copy is out of range"}
		}
		out = append(out, base[from:from+int(n)]...)
		copied = from + int(n)
	}
	switch {
	case r.failed || len(r.rest) > 0:
		return nil, &CorruptError{Reason: "it does not end with the target"}
	case xxhash.Sum64(out) != binary.BigEndian.Uint64(sum):
		return nil, &CorruptError{Reason: "it is for another base"}
	}
	return out, nil
}

// reader reads the parts of a patch.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	x, n := binary.Uvarint(r.rest)
	return advance(r, x, n)
}

func (r *reader) varint() int64 {
	x, n := binary.Varint(r.rest)
	return advance(r, x, n)
}

func advance[T int64 | uint64](r *reader, x T, n int) T {
	if n <= 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return x
}

// bytes returns the next n bytes, all zero if there are fewer.
func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.rest, r.failed = nil, true
		return make([]byte, min(n, 8))
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}
