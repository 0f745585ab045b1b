package route

// recent is a map that forgets: it keeps the entries that were put or found
// during the last most/2 to most puts, in two generations. It bounds memory for
// hints, which may be lost at any time.
type recent[K comparable, V any] struct {
	young, old map[K]V
}

// mostRecent is how many entries a recent keeps. For prefixes that is some
// thousand conversations of a dozen blocks; it takes about 3 MB.
const mostRecent = 1 << 16

func (m *recent[K, V]) get(k K) (V, bool) {
	if v, ok := m.young[k]; ok {
		return v, true
	}
	v, ok := m.old[k]
	if ok {
		m.put(k, v)
	}
	return v, ok
}

func (m *recent[K, V]) put(k K, v V) {
	if m.young == nil {
		m.young = make(map[K]V)
	}
	if len(m.young) >= mostRecent/2 {
		m.old, m.young = m.young, make(map[K]V)
	}
	m.young[k] = v
}

func (m *recent[K, V]) cut(k K) {
	delete(m.young, k)
	delete(m.old, k)
}
