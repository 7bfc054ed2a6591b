package control

import (
	"cmp"
	"slices"
)

// table is a map that is iterated in ascending key order, so that equal inputs give equal actions.
type table[K cmp.Ordered, V any] struct {
	byKey map[K]V
	// keys are in ascending order, and values those of the keys: iteration looks nothing up.
	keys   []K
	values []V
}

// newTable returns an empty table.
func newTable[K cmp.Ordered, V any]() table[K, V] {
	return table[K, V]{byKey: make(map[K]V)}
}

// get returns the value of a key, or the zero value.
func (t *table[K, V]) get(k K) V { return t.byKey[k] }

// put adds or replaces the value of a key.
func (t *table[K, V]) put(k K, v V) {
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
func (t *table[K, V]) remove(k K) {
	if _, ok := t.byKey[k]; !ok {
		return
	}
	delete(t.byKey, k)
	i, _ := slices.BinarySearch(t.keys, k)
	t.keys = slices.Delete(t.keys, i, i+1)
	t.values = slices.Delete(t.values, i, i+1)
}

// all calls f for every entry in ascending key order; f must not add or remove entries.
func (t *table[K, V]) all(f func(K, V) bool) {
	for i, k := range t.keys {
		if !f(k, t.values[i]) {
			return
		}
	}
}
