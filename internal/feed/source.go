package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

const (
	// watchWait is how long a watch waits for a change. A connection that has gone silent shows only
	// when the answer is overdue, and a change must be in force 3 s after its acknowledgement.
	watchWait = 1500 * time.Millisecond
	// watchInterval and watchBurst bound the watches of a kind that follow each other at once, so that a
	// series of changes costs a bounded number of calls. What waits for the next watch is not known
	// meanwhile: with 400 ms between any two, the soak saw 21 new flows within a second at a target
	// that had restarted cold and bears 8.
	watchInterval = 150 * time.Millisecond
	watchBurst    = 4
	// minBackoff and maxBackoff bound the pause after a failed call to the store.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// storeLost is the time without an answer after which a reader looks for the feed of another VM,
	// and its subscribers try the store themselves. It is the longest time between two answers of a
	// store that is well.
	storeLost = 2500 * time.Millisecond
	// checkInterval is how often a reader without subscribers asks whether another VM has taken over.
	checkInterval = 5 * time.Second
	// maxClaimDelay and claimJitter spread the claims of the VMs of a zone. A VM with half a core or
	// more does not wait for the first, so that the largest VM usually becomes the reader.
	maxClaimDelay = 300 * time.Millisecond
	claimJitter   = 150 * time.Millisecond
	fullShare     = 0.5
)

// Options configure a Source.
type Options struct {
	VM   core.VMName
	Zone core.ZoneName
	// Address is where this VM accepts subscriptions.
	Address string
	// Seeds are addresses of VMs that may be asked when the store cannot be reached.
	Seeds []string
	// CPUShare is the share of a core that the VM has.
	CPUShare float64
	Store    Store
	Log      *slog.Logger
	// Now returns the time on the VM's clock.
	Now func() time.Duration
	// Events takes what the Source learns.
	Events chan<- Event
}

// Source keeps the control thread up to date.
type Source struct {
	Options

	mu sync.Mutex
	// reader is the zone's reader as last heard of.
	reader Reader
	// asOf is the revision up to which updates were handed on.
	asOf [registry.NumKinds]uint64
	// answered is when the store last answered.
	answered time.Duration
	// subscribers is the number of VMs that take this VM's feed, behind that of the VMs that get it
	// through them, too, and helloFor what the sender of this VM's own feed was told of them. peers are
	// the addresses of VMs that took the feed.
	subscribers, behind, helloFor int
	peers                         map[string]struct{}
}

// NewSource returns a Source; Run starts it.
func NewSource(o Options) *Source {
	s := &Source{Options: o, peers: map[string]struct{}{}}
	for _, seed := range o.Seeds {
		s.peers[seed] = struct{}{}
	}
	return s
}

// SetSubscribers tells how many VMs take this VM's feed, how many get it through them in all, and the
// address of a new one, if any.
func (s *Source) SetSubscribers(n, behind int, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers, s.behind = n, behind
	if address != "" {
		s.peers[address] = struct{}{}
	}
}

// Run works until ctx ends.
func (s *Source) Run(ctx context.Context) {
	s.state(Starting, "", "")
	go s.start(ctx)
	for ctx.Err() == nil {
		s.step(ctx)
	}
}

// start reads all kinds once, from the store or from another VM, whichever answers first. Waiting for
// the feed of the zone's reader would save three calls, but when all VMs restart together it delays each
// of them by the time that it takes to find that nobody has a feed yet.
func (s *Source) start(ctx context.Context) {
	peers, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The store answers in milliseconds when it is well.
		if pause(peers, storeLost/5) {
			s.followAny(peers)
		}
	}()
	var wg sync.WaitGroup
	for kind := range registry.Kind(registry.NumKinds) {
		wg.Go(func() {
			for ctx.Err() == nil && s.at(kind) == 0 {
				if s.list(ctx, kind) != nil {
					pause(ctx, backoff())
				}
			}
		})
	}
	wg.Wait()
}

// step finds the zone's reader and takes its feed, or becomes the reader.
func (s *Source) step(ctx context.Context) {
	r, err := s.Store.Reader(ctx, s.Zone)
	if err != nil {
		s.Log.Warn("cannot read who reads the store for the zone", "error", err)
		if !s.followAny(ctx) {
			s.state(Searching, "", "neither the store nor another VM answers")
			pause(ctx, backoff())
		}
		return
	}
	s.answer()
	for ctx.Err() == nil {
		s.noteReader(r)
		if r.VM != "" && r.VM != s.VM {
			if again := s.follow(ctx, r.Address); again {
				return
			}
		}
		if r, err = s.replaceReader(ctx, r); err != nil {
			s.Log.Warn("cannot settle who reads the store for the zone", "error", err)
			pause(ctx, backoff())
			return
		}
		if r.VM == s.VM {
			s.noteReader(r)
			s.read(ctx)
			return
		}
	}
}

// replaceReader returns who reads the store after the given reader was lost: another VM that was
// quicker, or this one. All VMs of the zone lose a reader at the same moment, and most of them find out
// with a cheap read that one has claimed the role.
func (s *Source) replaceReader(ctx context.Context, lost Reader) (Reader, error) {
	if lost.VM != s.VM {
		delay := time.Duration(max(0, 1-s.CPUShare/fullShare) * float64(maxClaimDelay))
		if !pause(ctx, delay+rand.N(claimJitter)) {
			return Reader{}, ctx.Err()
		}
		r, err := s.Store.Reader(ctx, s.Zone)
		if err != nil {
			return Reader{}, err
		}
		s.answer()
		if r.VM != "" && r.VM != lost.VM {
			return r, nil
		}
		lost.Revision = max(lost.Revision, r.Revision)
	}
	// Whether a claim without an answer took effect shows when the object is read again.
	r, err := s.Store.Claim(ctx, s.Zone, Reader{VM: s.VM, Address: s.Address, Revision: lost.Revision})
	if err == nil {
		s.answer()
	}
	return r, err
}

// read watches the store until another VM is the reader.
func (s *Source) read(ctx context.Context) {
	s.state(Reading, "", fmt.Sprintf("claimed at revision %d", s.lastReader().Revision))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for kind := range registry.Kind(registry.NumKinds) {
		wg.Go(func() { s.watch(ctx, kind) })
	}
	s.supervise(ctx)
	cancel()
	wg.Wait()
}

// supervise returns when another VM is the reader. While the store does not answer, it takes the feed
// of another VM that the store may still serve.
func (s *Source) supervise(ctx context.Context) {
	checked := s.Now()
	lost := false
	for pause(ctx, storeLost/5) {
		s.mu.Lock()
		silent, alone := s.Now()-s.answered > storeLost, s.subscribers == 0
		s.mu.Unlock()
		switch {
		case silent:
			lost = true
			if !s.followAny(ctx) {
				pause(ctx, backoff())
			}
		case lost || alone && s.Now()-checked > checkInterval:
			checked = s.Now()
			r, err := s.Store.Reader(ctx, s.Zone)
			if err != nil {
				s.Log.Warn("cannot read who reads the store for the zone", "error", err)
				continue
			}
			if lost {
				s.state(Reading, "", "the store answers again")
			}
			lost = false
			if r.VM != s.VM {
				s.noteReader(r)
				return
			}
		}
	}
}

// watch hands on the changes of a kind until ctx ends.
func (s *Source) watch(ctx context.Context, kind registry.Kind) {
	limiter := rate.NewLimiter(rate.Every(watchInterval), watchBurst)
	for ctx.Err() == nil {
		if s.at(kind) == 0 {
			if s.list(ctx, kind) != nil {
				pause(ctx, backoff())
			}
			continue
		}
		u, err := s.Store.Watch(ctx, kind, s.at(kind), watchWait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			s.Log.Info("lists a kind again", "kind", kind.String(), "cause", err)
			if s.list(ctx, kind) != nil {
				pause(ctx, backoff())
			}
		case err != nil:
			s.Log.Warn("a watch failed", "kind", kind.String(), "after", s.at(kind), "error", err)
			pause(ctx, backoff())
		default:
			s.take(ctx, u)
			if len(u.Records) > 0 && limiter.Wait(ctx) != nil {
				return
			}
		}
	}
}

// list reads a kind anew.
func (s *Source) list(ctx context.Context, kind registry.Kind) error {
	u, err := s.Store.List(ctx, kind)
	if err != nil {
		if ctx.Err() == nil {
			s.Log.Warn("cannot list a kind", "kind", kind.String(), "error", err)
		}
		return err
	}
	s.take(ctx, u)
	return nil
}

// take hands on an update that the store has just given.
func (s *Source) take(ctx context.Context, u registry.Update) {
	s.answer()
	s.advance(u)
	e := Event{Update: &u}
	e.ConfirmedAt[u.Kind] = s.Now()
	s.send(ctx, e)
}

// answer records that the store answered.
func (s *Source) answer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = s.Now()
}

func (s *Source) noteReader(r Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = r
}

func (s *Source) lastReader() Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// advance records the revision that an update leads to.
func (s *Source) advance(u registry.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf[u.Kind] = max(s.asOf[u.Kind], u.AsOf)
}

func (s *Source) at(kind registry.Kind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf[kind]
}

func (s *Source) state(r Role, peer, cause string) {
	s.send(context.Background(), Event{State: &State{Role: r, Peer: peer, Cause: cause}})
}

func (s *Source) send(ctx context.Context, e Event) {
	select {
	case s.Events <- e:
	case <-ctx.Done():
	}
}

func backoff() time.Duration { return minBackoff + rand.N(maxBackoff-minBackoff) }

// pause waits and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
