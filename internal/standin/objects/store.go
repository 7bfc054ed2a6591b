package objects

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

// Object is an object of the store as it is sent.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Meta is the head of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"pendingDelete"`
}

// Event is a change as watches get it.
type Event struct {
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	history  []Event
	// dropped is the revision up to which the history is gone.
	dropped uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
	// lapses is when entries lapse unless they are renewed.
	lapses map[string]time.Time

	faults Faults
	// vms holds the faults of single VMs by address.
	vms   map[string]Faults
	calls map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{}),
		lapses: map[string]time.Time{}, vms: map[string]Faults{}, calls: map[string]int{},
	}
}

// Put writes an object's spec, as the operator or a target does, and returns the revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.PutRaw(kind, name, raw)
}

// PutRaw writes an object's spec as it stands, which may be no JSON of the right shape.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o.Meta.Name != "" && string(o.Spec) == string(spec) {
		return s.revision
	}
	o.Meta.Name, o.Spec = name, spec
	return s.set(kind, o).Meta.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Renew lets an entry live for another while; it lapses when it is not renewed until then.
func (s *Store) Renew(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapses[name] = until
}

// Expire removes the entries of a kind that were not renewed in time.
func (s *Store) Expire(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, until := range s.lapses {
		if now.After(until) {
			delete(s.lapses, name)
			s.remove(kind, name)
		}
	}
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// Get returns an object; ok is false when there is none.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// Calls returns the number of calls so far by name, refused ones included.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// set stores an object as a change. s.mu is held.
func (s *Store) set(kind string, o Object) Object {
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
	s.wake()
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
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns up to size objects of a kind after a name.
func (s *Store) page(kind, after string, size int) (items []Object, more bool, asOf uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == size {
			return items, true, s.revision
		}
		items = append(items, s.kinds[kind][name])
	}
	return items, false, s.revision
}

// since returns the changes of a kind after a revision, and a channel that is closed with the next
// change. ok is false when that history is gone.
func (s *Store) since(kind string, revision uint64) (events []Event, asOf uint64, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.dropped || revision > s.revision {
		return nil, 0, nil, false
	}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Meta.Revision > revision {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, true
}
