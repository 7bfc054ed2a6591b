package control

import (
	"cmp"
	"slices"
)

// orderedMap is a map that is iterated in ascending key order, so that equal inputs give equal actions.
type orderedMap[K cmp.Ordered, V any] struct {
	byKey map[K]V
	// keys is in ascending order, and values has the values in the same order, so that iteration needs no
	// lookups.
	keys   []K
	values []V
}

// newOrderedMap returns an empty map.
func newOrderedMap[K cmp.Ordered, V any]() orderedMap[K, V] {
	return orderedMap[K, V]{byKey: make(map[K]V)}
}

// get returns the value of a key, or the zero value.
func (m *orderedMap[K, V]) get(k K) V { return m.byKey[k] }

// put adds or replaces the value of a key.
func (m *orderedMap[K, V]) put(k K, v V) {
	i, found := slices.BinarySearch(m.keys, k)
	if found {
		m.values[i] = v
	} else {
		m.keys = slices.Insert(m.keys, i, k)
		m.values = slices.Insert(m.values, i, v)
	}
	m.byKey[k] = v
}

// remove deletes a key.
func (m *orderedMap[K, V]) remove(k K) {
	if _, ok := m.byKey[k]; !ok {
		return
	}
	delete(m.byKey, k)
	i, _ := slices.BinarySearch(m.keys, k)
	m.keys = slices.Delete(m.keys, i, i+1)
	m.values = slices.Delete(m.values, i, i+1)
}

// all calls f for each entry in ascending key order until f returns false; f must not add or remove
// entries.
func (m *orderedMap[K, V]) all(f func(K, V) bool) {
	for i, k := range m.keys {
		if !f(k, m.values[i]) {
			return
		}
	}
}
