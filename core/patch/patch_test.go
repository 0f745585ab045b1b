package patch_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/patch"
)

const limit = 1 << 20

// document returns a document of n records.
func document(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%x.example","timeout":1500},`, i, uint32(i)*2654435761)
	}
	return b.Bytes()
}

// assertRestores checks that a patch restores its target, and takes at most so many bytes.
func assertRestores(t *testing.T, base, target []byte, most int) {
	t.Helper()
	p := patch.Make(base, target)
	got, err := patch.Apply(base, p, limit)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, target))
	assert.Assert(t, len(p) <= most, "%d bytes", len(p))
}

func TestPatch(t *testing.T) {
	base := document(1000)
	t.Run("nothing changed", func(t *testing.T) { assertRestores(t, base, base, 32) })
	t.Run("one record changed", func(t *testing.T) {
		target := bytes.Replace(base, []byte(`"route-500"`), []byte(`"elsewhere"`), 1)
		assertRestores(t, base, target, 64)
	})
	t.Run("records changed far apart", func(t *testing.T) {
		target := slices.Clone(base)
		for _, name := range []string{"route-10\"", "route-500\"", "route-990\""} {
			target = bytes.Replace(target, []byte(name), []byte("elsewhere\""), 1)
		}
		assertRestores(t, base, target, 300)
	})
	t.Run("records added in front", func(t *testing.T) {
		assertRestores(t, base, append([]byte(`{"name":"first"},`), base...), 64)
	})
	t.Run("records removed", func(t *testing.T) { assertRestores(t, base, base[5000:], 64) })
	t.Run("moved records", func(t *testing.T) {
		assertRestores(t, base, append(slices.Clone(base[20_000:]), base[:20_000]...), 200)
	})
	t.Run("nothing in common", func(t *testing.T) { assertRestores(t, nil, base, len(base)+32) })
	t.Run("an empty target", func(t *testing.T) { assertRestores(t, base, nil, 32) })
}

// TestPatchRandom makes patches of random edits of random texts over few letters, in which blocks
// repeat.
func TestPatchRandom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		text := func(n int) []byte {
			b := make([]byte, r.IntN(n))
			for i := range b {
				b[i] = 'a' + byte(r.IntN(2))
			}
			return b
		}
		base := text(600)
		target := slices.Clone(base)
		for range r.IntN(4) {
			at := r.IntN(len(target) + 1)
			target = slices.Concat(target[:at], text(50), target[min(len(target), at+r.IntN(60)):])
		}
		assertRestores(t, base, target, len(target)+64)
	}
}

// TestPatchForOtherBase guards against a document that is put together from the wrong base.
func TestPatchForOtherBase(t *testing.T) {
	base := document(100)
	p := patch.Make(base, bytes.ToUpper(base[:2000]))
	_, err := patch.Apply(document(99)[3:], append(slices.Clone(p), 1), limit)
	var corrupt *patch.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
	p = patch.Make(base, base)
	_, err = patch.Apply(bytes.ToUpper(base), p, limit)
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

func FuzzApply(f *testing.F) {
	base := document(3)
	f.Add(patch.Make(base, base[30:]))
	f.Fuzz(func(t *testing.T, p []byte) {
		out, err := patch.Apply(base, p, 1<<16)
		assert.Assert(t, err == nil || out == nil)
		assert.Assert(t, len(out) <= 1<<16)
	})
}

func BenchmarkMake(b *testing.B) {
	base := document(7000)
	for name, target := range map[string][]byte{
		"one":  bytes.Replace(base, []byte(`"route-500"`), []byte(`"elsewhere"`), 1),
		"ends": bytes.ReplaceAll(bytes.Replace(base, []byte(`"route-5"`), []byte(`"x"`), 1), []byte(`"route-6990"`), []byte(`"yy"`)),
		"half": base[len(base)/2:],
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				patch.Make(base, target)
			}
			b.ReportMetric(float64(len(patch.Make(base, target))), "patch-bytes")
		})
	}
}
