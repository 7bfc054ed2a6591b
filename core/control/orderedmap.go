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
func (t *orderedMap[K, V]) get(k K) V { return t.byKey[k] }

// put adds or replaces the value of a key.
func (t *orderedMap[K, V]) put(k K, v V) {
	i, found := slices.BinarySearch(t.keys, k)
	if found {
		t.values[i] = v
	} else {
		t.keys = slices.Insert(t.keys, i, k)
		t.values = slices.Insert(t.values, i, v)
	}
	t.byKey[k] = v
}

// remove deletes a key.
func (t *orderedMap[K, V]) remove(k K) {
	if _, ok := t.byKey[k]; !ok {
		return
	}
	delete(t.byKey, k)
	i, _ := slices.BinarySearch(t.keys, k)
	t.keys = slices.Delete(t.keys, i, i+1)
	t.values = slices.Delete(t.values, i, i+1)
}

// all calls f for each entry in ascending key order until f returns false; f must not add or remove
// entries.
func (t *orderedMap[K, V]) all(f func(K, V) bool) {
	for i, k := range t.keys {
		if !f(k, t.values[i]) {
			return
		}
	}
}
