package objects

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

// Object is an object of the store, as responses encode it.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Meta is the metadata of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"pendingDelete"`
}

// Event is a change, as responses to watches encode it.
type Event struct {
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
}

// Store is the stand-in for the store. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era is the number of the history. It rises by one with each Restore.
	era     uint64
	kinds   map[string]map[string]Object
	history []Event
	// droppedRevision is the revision up to which the history has been dropped.
	droppedRevision uint64
	// changed is closed and replaced at each change of an object or of the faults.
	changed chan struct{}
	// expiries contains the time at which each entry expires unless it is renewed.
	expiries map[string]time.Time

	faults Faults
	// vmFaults contains the faults of single VMs, by IP address.
	vmFaults map[string]Faults
	// calls counts calls by method and kind, with watches apart.
	calls map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, era: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{}),
		expiries: map[string]time.Time{}, vmFaults: map[string]Faults{}, calls: map[string]int{},
	}
}

// Put writes an object's spec, as an operator or a target does, and returns the object's revision. A spec that
// is already stored changes nothing; the store's revision is then returned.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.PutRaw(kind, name, raw)
}

// PutRaw writes an object's spec without encoding it, so that the spec may be invalid. It returns the same as
// Put.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o.Meta.Name != "" && string(o.Spec) == string(spec) {
		return s.revision
	}
	o.Meta.Name, o.Spec = name, spec
	return s.put(kind, o).Meta.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Renew renews an entry, which then expires at the given time unless it is renewed again.
func (s *Store) Renew(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiries[name] = until
}

// Expire removes the entries of a kind that were not renewed in time.
func (s *Store) Expire(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, until := range s.expiries {
		if now.After(until) {
			delete(s.expiries, name)
			s.remove(kind, name)
		}
	}
}

// DropHistory drops the history of all changes so far. Watches after an earlier revision then fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
	s.notifyWatches()
}

// Copy is a copy of a Store's objects and history.
type Copy struct {
	takenAt                   time.Time
	revision, droppedRevision uint64
	kinds                     map[string]map[string]Object
	history                   []Event
	expiries                  map[string]time.Time
}

// Copy returns a copy of the objects and of the history.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		takenAt: time.Now(), revision: s.revision, droppedRevision: s.droppedRevision, kinds: cloneKinds(s.kinds),
		history: slices.Clone(s.history), expiries: maps.Clone(s.expiries),
	}
	return c
}

// Restore replaces the objects and the history by those of a copy. What was written since the copy is lost, and its
// revisions are given out again, in a history with the next number. Entries of targets have the rest of their time to
// expiry that they had when the copy was taken.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.droppedRevision, s.kinds, s.history = c.revision, c.droppedRevision, cloneKinds(c.kinds), slices.Clone(c.history)
	s.expiries = map[string]time.Time{}
	for name, until := range c.expiries {
		s.expiries[name] = until.Add(time.Since(c.takenAt))
	}
	s.notifyWatches()
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	clone := make(map[string]map[string]Object, len(kinds))
	for kind, named := range kinds {
		clone[kind] = maps.Clone(named)
	}
	return clone
}

// Get returns an object; ok is false when there is none.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// Calls returns the number of calls so far by name, including refused ones.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// put stores an object as a change. s.mu is held.
func (s *Store) put(kind string, o Object) Object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.kinds[kind][o.Meta.Name] = o
	s.history = append(s.history, Event{Object: o, kind: kind})
	s.notifyWatches()
	return o
}

// remove removes an object as a change. s.mu is held.
func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.history = append(s.history, Event{Object: o, Removed: true, kind: kind})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns up to size objects of a kind after a name, in the order of their names, and whether there are
// more.
func (s *Store) page(kind, after string, size int) (items []Object, more bool, asOf, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == size {
			return items, true, s.revision, s.era
		}
		items = append(items, s.kinds[kind][name])
	}
	return items, false, s.revision, s.era
}

// changesSince returns the changes of a kind after a revision, the present revision and era, and a channel that is closed at the next
// change. ok is false when the history after that revision has been dropped, or the revision is a future one.
func (s *Store) changesSince(kind string, revision uint64) (events []Event, asOf, era uint64, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.droppedRevision || revision > s.revision {
		return nil, 0, s.era, nil, false
	}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Meta.Revision > revision {
			events = append(events, e)
		}
	}
	return events, s.revision, s.era, s.changed, true
}
