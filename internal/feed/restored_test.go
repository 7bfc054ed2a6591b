package feed

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

func inEra(era, number uint64) registry.Revision {
	return registry.Revision{Era: era, Number: number}
}

// restoredStore is a store whose cheap reads of the reader come from an earlier history.
type restoredStore struct {
	readerStore
	stale Reader
	// reads counts the calls of Reader by staleOK.
	reads map[bool]int
	// lateClaim is returned for claims if its VM is set.
	lateClaim Reader
}

func (s *restoredStore) Reader(_ context.Context, _ core.ZoneName, staleOK bool) (Reader, error) {
	s.reads[staleOK]++
	if staleOK {
		return s.stale, nil
	}
	return s.reader, nil
}

func (s *restoredStore) Claim(ctx context.Context, zone core.ZoneName, r Reader) (Reader, error) {
	if s.lateClaim.VM != "" {
		return s.lateClaim, nil
	}
	return s.readerStore.Claim(ctx, zone, r)
}

// Guards against responses of the store from before its return from an earlier copy that arrive late: they would confirm
// data that is out of date, name a reader that the store no longer knows, or give this VM a role that it does not have.
func TestLateResponsesOfEarlierHistory(t *testing.T) {
	events := make(chan Event, 16)
	store := &restoredStore{
		reads: map[bool]int{}, stale: Reader{VM: "vm-3", Revision: inEra(1, 40)},
		readerStore: readerStore{reader: Reader{VM: "vm-2", Revision: inEra(2, 20)}},
	}
	s := testSource(store, events)
	if err := s.deliverUpdate(t.Context(), registry.Update{Kind: registry.Targets, Full: true, AsOf: inEra(2, 25)}, false); err != nil {
		t.Fatal(err)
	}
	<-events
	confirmed := s.confirmedAt[registry.Targets]
	for _, late := range []registry.Update{
		{Kind: registry.Targets, Full: true, AsOf: inEra(1, 40)}, {Kind: registry.Targets, AsOf: inEra(1, 40)},
	} {
		if err := s.deliverUpdate(t.Context(), late, false); !errors.Is(err, errEarlierHistory) || len(events) > 0 {
			t.Errorf("error %v and %d events for a late response, want errEarlierHistory and none", err, len(events))
		}
	}
	if s.knownRevision(registry.Targets) != inEra(2, 25) || s.confirmedAt[registry.Targets] != confirmed {
		t.Error("a late response confirmed the targets")
	}
	r, err := s.lookUpReader(t.Context())
	if err != nil || r.VM != "vm-2" || store.reads[false] != 1 {
		t.Errorf("the reader is %s (%v) after %d fresh reads, want vm-2 after 1", r.VM, err, store.reads[false])
	}
	store.lateClaim = Reader{VM: s.VM, Revision: inEra(1, 41)}
	if r, err := s.claim(t.Context(), inEra(2, 20)); !errors.Is(err, errEarlierHistory) {
		t.Errorf("a claim that an earlier history accepted makes %s the reader (%v)", r.VM, err)
	}
}

// Guards against a list that makes VMs ask for changes of the earlier history, when only the list of one kind was read from the
// new one.
func TestEachKindIsListedAfterRestore(t *testing.T) {
	s := testSource(&readerStore{}, make(chan Event, 16))
	for kind := range registry.Kind(registry.NumKinds) {
		s.advanceRevision(registry.Update{Kind: kind, AsOf: inEra(1, 30)}, s.Now())
	}
	if err := s.deliverUpdate(t.Context(), registry.Update{Kind: registry.Targets, Full: true, AsOf: inEra(2, 25)}, false); err != nil {
		t.Fatal(err)
	}
	var lists []registry.Kind
	for kind := range registry.Kind(registry.NumKinds) {
		if s.mustList(kind) {
			lists = append(lists, kind)
		}
	}
	if want := []registry.Kind{registry.Configs, registry.ZonesOut}; !slices.Equal(lists, want) {
		t.Errorf("kinds to list %v, want %v", lists, want)
	}
}

// Guards against data of one history of the store that counts as confirmed by a VM that has another one: VMs of two zones, or
// of two releases, may know different histories.
func TestMessagesConfirmOnlyTheirHistory(t *testing.T) {
	const age = 100 * time.Millisecond
	eras := func(n uint64) (out [registry.NumKinds]uint64) {
		for kind := range out {
			out[kind] = n
		}
		return out
	}
	list := registry.Update{Kind: registry.Targets, Full: true, AsOf: inEra(2, 25)}
	for _, test := range []struct {
		name    string
		known   registry.Revision
		store   uint64
		message Message
		want    time.Duration
	}{
		{"the same history", inEra(2, 25), 2, Message{Eras: eras(2)}, age},
		{"an earlier history", inEra(2, 25), 2, Message{Eras: eras(1)}, UnknownAge},
		{"a later history whose objects are not there yet", inEra(1, 30), 1, Message{Eras: eras(2)}, UnknownAge},
		{"a later history with its objects", inEra(1, 30), 1, Message{Eras: eras(2), Updates: []registry.Update{list}}, age},
		{"the history before that of a response of the store", inEra(1, 30), 2, Message{Eras: eras(1)}, UnknownAge},
		{"a VM with an earlier release", inEra(2, 25), 2, Message{}, UnknownAge},
		{"a store without histories", rev(25), 0, Message{}, age},
	} {
		s := testSource(&readerStore{}, make(chan Event, 16))
		s.era = test.store
		s.advanceRevision(registry.Update{Kind: registry.Targets, AsOf: test.known}, s.Now())
		test.message.Ages = []time.Duration{age, age, age}
		s.discardOtherHistories(&test.message)
		if got := test.message.Ages[registry.Targets]; got != test.want {
			t.Errorf("%s: age %s, want %s", test.name, got, test.want)
		}
	}
}

// Guards against a reader whose role the store has lost: other VMs would subscribe to the VM that the copy names, or claim the
// role while this VM keeps it.
func TestReaderClaimsAgainAfterRestore(t *testing.T) {
	own := func(era, number uint64) Reader { return Reader{VM: "vm-1", Revision: inEra(era, number)} }
	for _, test := range []struct {
		name         string
		inStore      Reader
		kept, claims bool
	}{
		{"the copy has the claim", own(2, 20), true, false},
		{"the copy names an earlier reader", Reader{VM: "vm-2", Revision: inEra(2, 12)}, true, true},
		{"the copy has no reader", Reader{Revision: inEra(2, 0)}, true, true},
		{"the store was not restored, and the result is from before the claim", Reader{VM: "vm-2", Revision: inEra(1, 12)}, true, false},
		{"the store was not restored, and another VM has claimed", Reader{VM: "vm-2", Revision: inEra(1, 31)}, false, false},
	} {
		store := &readerStore{reader: test.inStore}
		s := testSource(store, make(chan Event, 16))
		s.VM = "vm-1"
		s.era = 1
		s.setReader(own(1, 20))
		kept, err := s.checkRole(t.Context())
		if err != nil || kept != test.kept || store.claims > 0 != test.claims {
			t.Errorf("%s: kept %t (%v) after %d claims, want %t and a claim %t", test.name, kept, err, store.claims, test.kept, test.claims)
		}
		if test.claims && (store.reader.VM != "vm-1" || s.roleFromEarlierHistory()) {
			t.Errorf("%s: the reader is %s", test.name, store.reader.VM)
		}
	}
}
