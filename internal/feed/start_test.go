package feed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// longStore is a store whose list of targets has several pages. No VM can become the reader.
type longStore struct {
	// whole counts whole lists of targets.
	whole atomic.Int64
}

var errTest = errors.New("not in this test")

func (s *longStore) List(_ context.Context, kind registry.Kind, pages int) (registry.Update, error) {
	u := registry.Update{Kind: kind, Full: true, AsOf: 7}
	switch {
	case kind != registry.Targets:
	case pages != AllPages:
		return u, ErrLongList
	default:
		s.whole.Add(1)
	}
	return u, nil
}

func (s *longStore) Watch(context.Context, registry.Kind, uint64, time.Duration) (registry.Update, error) {
	return registry.Update{}, errTest
}

func (s *longStore) Reader(context.Context, core.ZoneName) (Reader, error) { return Reader{}, errTest }

func (s *longStore) Claim(context.Context, core.ZoneName, Reader) (Reader, error) {
	return Reader{}, errTest
}

// Guards against a store that all VMs ask for long lists when they start together (300 VMs with 3,000 targets
// served after 9.5 s), and against a VM that waits for a feed which does not come.
func TestLongListsAreLeftToTheReader(t *testing.T) {
	for _, c := range []struct {
		name  string
		feed  bool
		whole int64
	}{{"with a feed", true, 0}, {"without a feed", false, 1}} {
		synctest.Test(t, func(t *testing.T) {
			store := &longStore{}
			began := time.Now()
			s := NewSource(Options{
				Store: store, Log: slog.New(slog.DiscardHandler), Events: make(chan Event, 64),
				Now: func() time.Duration { return time.Since(began) },
			})
			if c.feed {
				go func() {
					time.Sleep(feedWait / 2)
					s.advance(registry.Update{Kind: registry.Targets, AsOf: 7})
				}()
			}
			s.start(t.Context())
			if n := store.whole.Load(); n != c.whole {
				t.Errorf("%s: %d whole lists, want %d", c.name, n, c.whole)
			}
			if took := time.Since(began); took > 2*feedWait {
				t.Errorf("%s: the start took %s", c.name, took)
			}
		})
	}
}
