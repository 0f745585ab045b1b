package route

// recentMap is a map that evicts old entries. It keeps the entries that were
// put or found during the last recentSize/2 to recentSize puts, in two
// generations. It bounds the memory for hints, which may be lost at any time.
type recentMap[K comparable, V any] struct {
	young, old map[K]V
}

// recentSize is how many entries a recentMap keeps. For prefixes that is some
// thousand conversations of a dozen blocks, in about 3 MB.
const recentSize = 1 << 16

func (m *recentMap[K, V]) get(k K) (V, bool) {
	if v, ok := m.young[k]; ok {
		return v, true
	}
	v, ok := m.old[k]
	if ok {
		m.put(k, v)
	}
	return v, ok
}

func (m *recentMap[K, V]) put(k K, v V) {
	if m.young == nil {
		m.young = make(map[K]V)
	}
	if len(m.young) >= recentSize/2 {
		m.old, m.young = m.young, make(map[K]V)
	}
	m.young[k] = v
}

func (m *recentMap[K, V]) remove(k K) {
	delete(m.young, k)
	delete(m.old, k)
}
