package cli

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

const smallManifest = `{"deployment": "d", "zones": [{"name": "za"}], "services": [{"name": "s", "address": "10.0.0.1:1",
"targets": [{"name": "t", "address": "10.0.0.2:1", "zone": "za", "slots": 1, "connections": 1}]}]}`

// fakeStore is a store in which each call of Put runs the next of steps. The first reads calls of Get
// succeed, all later ones fail.
type fakeStore struct {
	stored contract.StoredManifest
	steps  []func(s *fakeStore, value []byte, expect uint64) error
	reads  int
}

func (s *fakeStore) Get(context.Context, string) (platform.Object, error) {
	if s.reads == 0 {
		return platform.Object{}, &platform.UnavailableError{Err: errLost}
	}
	s.reads--
	return platform.Object{Version: uint64(s.stored.Generation), Value: s.stored.Text}, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, expect uint64) (uint64, error) {
	step := s.steps[0]
	s.steps = s.steps[1:]
	err := step(s, value, expect)
	return uint64(s.stored.Generation), err
}

var errLost = errors.New("response lost")

func writeOnce(store *fakeStore, value []byte, expect uint64) error {
	if uint64(store.stored.Generation) != expect {
		return &platform.ConflictError{Expected: expect, Version: uint64(store.stored.Generation)}
	}
	store.stored = contract.StoredManifest{Generation: store.stored.Generation + 1, Text: value}
	return nil
}

// writeByOthers writes n generations, each as another operator who has read the one before it.
func writeByOthers(store *fakeStore, n int) {
	for range n {
		text, err := contract.AddGenerated(store.stored, []byte(smallManifest), "other", time.Now())
		if err != nil {
			panic(err)
		}
		_ = writeOnce(store, text, uint64(store.stored.Generation))
	}
}

func loseResponse(store *fakeStore, value []byte, expect uint64) error {
	_ = writeOnce(store, value, expect)
	return &platform.UnknownOutcomeError{Err: errLost}
}

func loseWrite(*fakeStore, []byte, uint64) error { return &platform.UnknownOutcomeError{Err: errLost} }

// Guards against an apply that reports a wrong outcome after a response was lost.
func TestWriteManifest(t *testing.T) {
	loseResponseThenOthers := func(n int) func(*fakeStore, []byte, uint64) error {
		return func(store *fakeStore, value []byte, expect uint64) error {
			err := loseResponse(store, value, expect)
			writeByOthers(store, n)
			return err
		}
	}
	loseWriteThenOther := func(store *fakeStore, _ []byte, _ uint64) error {
		writeByOthers(store, 1)
		return &platform.UnknownOutcomeError{Err: errLost}
	}
	// With the steps delayWrite and arriveLate, the first write takes effect only when the second one arrives.
	// The second one then conflicts with the first.
	var delayed []byte
	delayWrite := func(_ *fakeStore, value []byte, _ uint64) error {
		delayed = value
		return &platform.UnknownOutcomeError{Err: errLost}
	}
	arriveLate := func(store *fakeStore, value []byte, expect uint64) error {
		_ = writeOnce(store, delayed, expect)
		return writeOnce(store, value, expect)
	}
	refuse := func(*fakeStore, []byte, uint64) error { return &platform.UnavailableError{Err: errLost} }
	type steps = []func(*fakeStore, []byte, uint64) error
	cases := []struct {
		name  string
		steps steps
		reads int
		gen   core.Generation
		code  int
	}{
		{"no fault", steps{writeOnce}, 0, 1, ExitDone},
		{"response lost", steps{loseResponse}, 1, 1, ExitDone},
		{"response lost, other writes follow", steps{loseResponseThenOthers(3)}, 1, 1, ExitDone},
		{"response lost, too many other writes follow", steps{loseResponseThenOthers(20)}, 1, 0, ExitUnknownOutcome},
		{"write lost, another write is accepted", steps{loseWriteThenOther}, 1, 0, ExitFailed},
		{"write lost, second write accepted", steps{loseWrite, writeOnce}, 1, 1, ExitDone},
		{"write takes effect late", steps{delayWrite, arriveLate}, 2, 1, ExitDone},
		{"all writes lost", steps{loseWrite, loseWrite, loseWrite}, 3, 0, ExitUnknownOutcome},
		{"write lost, then an outage", steps{loseWrite, refuse}, 1, 0, ExitUnknownOutcome},
		{"write refused", steps{refuse}, 0, 0, ExitFailed},
		{"response lost, reading back fails", steps{loseResponse}, 0, 0, ExitUnknownOutcome},
	}
	Convey("The right outcome is reported", t, func() {
		for _, c := range cases {
			store := &fakeStore{steps: c.steps, reads: c.reads}
			gen, err := writeManifest(context.Background(), store, contract.StoredManifest{}, []byte(smallManifest))
			code := ExitDone
			if err != nil {
				code = exitCode(err)
			}
			So([]any{c.name, gen, code, len(store.steps)}, ShouldResemble, []any{c.name, c.gen, c.code, 0})
		}
	})
}
