package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/core/targetload"
)

const (
	// watchWait is how long a watch waits for a change. A connection that has become silent is detected only
	// when the response is overdue, and a change must be in force 3 s after its acknowledgement.
	watchWait = 1500 * time.Millisecond
	// firstWatchWait is the wait of the first watch of a reader and of the first one after a failure, which confirms
	// that the VM's data is up to date.
	firstWatchWait = 100 * time.Millisecond
	// watchInterval and watchBurst limit the rate of watches of a kind, so that a series of changes causes a
	// limited number of calls. Changes are delayed until the next watch: with 400 ms between any two, a
	// target that had restarted cold got 21 new flows within a second in the soak test, and it sustains 8.
	watchInterval = 150 * time.Millisecond
	watchBurst    = 4
	// minBackoff and maxBackoff are the limits of the random delay after a failed call to the store.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// storeLostAfter is the time without a response of the store after which a reader subscribes to another
	// VM, and its subscribers call the store themselves. It is the longest time between two responses of a
	// working store.
	storeLostAfter = 2500 * time.Millisecond
	// storeFailingAfter is the time in which all calls of a reader must have failed for the same consequences. A
	// reader may be refused while the store serves others. Shorter faults usually end by themselves.
	storeFailingAfter = 600 * time.Millisecond
	// maxHistoryAge is the age of the configuration up to which a reader catches up by a watch. A watch returns each
	// version since, with all routes, whereas a list returns only the newest one. Operators write at most about 3 versions
	// per second.
	maxHistoryAge = time.Second
	// checkInterval is how often a reader without subscribers checks whether another VM is the reader.
	checkInterval = 5 * time.Second
	// maxClaimDelay and claimJitter spread the claims of the VMs of a zone. A VM with half a core (fullCPUShare)
	// or more has the jitter but not the delay, so that the largest VM usually becomes the reader.
	maxClaimDelay = 300 * time.Millisecond
	claimJitter   = 150 * time.Millisecond
	fullCPUShare  = 0.5
)

// Options configure a Source.
type Options struct {
	VM   core.VMName
	Zone core.ZoneName
	// Address is where this VM accepts subscriptions.
	Address string
	// Seeds are addresses of VMs to subscribe to when the store cannot be reached.
	Seeds []string
	// CPUShare is the VM's share of a processor core.
	CPUShare float64
	Store    Store
	Log      *slog.Logger
	// Now returns the time on the VM's clock.
	Now func() time.Duration
	// Events receives the events of the Source.
	Events chan<- Event
}

// Source sends the changes of the store, or of another VM's change feed, to the control thread.
type Source struct {
	Options

	// incarnation identifies this process in the objects of readers.
	incarnation uint64
	// startWait is how long a VM that starts waits for the state of its zone's reader. Tests change it.
	startWait time.Duration
	// started is when the Source was created. load counts times from then.
	started time.Time
	// wake makes a subscription report failures and loads without waiting for a message.
	wake chan struct{}

	// stopping is true once a planned stop of the VM has begun.
	stopping atomic.Bool

	mu sync.Mutex
	// reader is the zone's reader as last read from the store.
	reader Reader
	// era is the newest history of the store from which this VM has a response; 0 while none is known.
	era uint64
	// asOf is the revision up to which updates of each kind were delivered.
	asOf [registry.NumKinds]registry.Revision
	// configs are the configurations that this VM has received, to which others send changes.
	configs registry.ConfigHistory
	// confirmedAt is when the store last confirmed each kind, to this VM or to the sender of an update.
	confirmedAt [registry.NumKinds]time.Duration
	// lastResponse is when the store's last response arrived, failingSince the time of the first failed call after
	// it, or 0.
	lastResponse, failingSince time.Duration
	// subscribers is the number of VMs that subscribe to this VM. downstream are the VMs that receive the
	// change feed through this VM, directly or not. downstreamReported is true when the VM that this one
	// subscribes to has them.
	subscribers        int
	downstream         Downstream
	downstreamReported bool
	// failures are failures of targets to report to that VM.
	failures []forward.TargetFailures
	// load has the load reports for that VM.
	load loadQueue
	// peers are the addresses of the seeds and of VMs that have subscribed to this one.
	peers map[string]struct{}
}

// Downstream are the VMs that receive the change feed through a VM, directly or not.
type Downstream struct {
	VMs int
	// Members are those in the VM's own zone, in ascending order.
	Members []forward.VMID
}

// NewSource returns a Source; Run starts it.
func NewSource(o Options) *Source {
	s := &Source{Options: o, incarnation: rand.Uint64(), startWait: startWait, started: time.Now(), wake: make(chan struct{}, 1), peers: map[string]struct{}{}}
	for _, seed := range o.Seeds {
		s.peers[seed] = struct{}{}
	}
	return s
}

// SetSubscribers sets the number of VMs that subscribe to this VM and all VMs downstream, and adds the address
// of a new subscriber, if any.
func (s *Source) SetSubscribers(n int, downstream Downstream, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = n
	if downstream.VMs != s.downstream.VMs || !slices.Equal(downstream.Members, s.downstream.Members) {
		s.downstream, s.downstreamReported = downstream, false
	}
	if address != "" {
		s.peers[address] = struct{}{}
	}
}

// SetStopping records that a planned stop of the VM has begun. It does not claim the reader's role from then on: it no longer
// accepts subscriptions, and its zone would lose one more reader.
func (s *Source) SetStopping() { s.stopping.Store(true) }

// errStopping reports that a VM does not claim the reader's role because it stops.
const errStopping = errors.ConstError("the VM is stopping and does not claim the role: another VM of the zone will")

// errOlderList reports a list that is older than what this VM has.
const errOlderList = errors.ConstError("the list is older than the data of this VM: list again later")

// maxQueuedFailures is the maximum number of targets with failures that wait to be reported.
const maxQueuedFailures = 1000

// FailuresQueued returns the number of targets with failures that wait to be reported.
func (s *Source) FailuresQueued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failures)
}

// ReportFailures sends failures of targets to the VM that this one subscribes to. They are lost when there is none.
func (s *Source) ReportFailures(failures []forward.TargetFailures) {
	s.mu.Lock()
	if len(s.failures)+len(failures) <= maxQueuedFailures {
		s.failures = append(s.failures, failures...)
	}
	s.mu.Unlock()
	s.wakeSubscription()
}

// ReportLoad sends load reports to the VM that this one subscribes to, merged with others of the same targets. They are lost
// when there is none.
func (s *Source) ReportLoad(reports []targetload.Report) {
	s.mu.Lock()
	wait, schedule := s.load.add(reports, s.sinceStart())
	s.mu.Unlock()
	switch {
	case schedule && wait > 0:
		time.AfterFunc(wait, s.wakeSubscription)
	case schedule:
		s.wakeSubscription()
	}
}

// LoadsQueued returns the number of targets with load reports that wait to be sent.
func (s *Source) LoadsQueued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.load.reports)
}

func (s *Source) sinceStart() time.Duration { return time.Since(s.started) }

// wakeSubscription makes a subscription send what is due.
func (s *Source) wakeSubscription() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run keeps the control thread up to date until ctx ends.
func (s *Source) Run(ctx context.Context) {
	s.sendState(Starting, "", "")
	reader, err := s.readState(ctx)
	if err != nil {
		s.Log.Info("reading the store, as the zone's reader sends no state", "reader", string(reader.VM), "cause", err)
	}
	delay := time.Duration(0)
	if errors.Is(err, errNoReader) {
		delay = firstReaderWait
	}
	go s.readAll(ctx, delay)
	go s.keepCurrent(ctx)
	if err == nil || delay > 0 {
		s.followOrReplace(ctx, reader)
	}
	for ctx.Err() == nil {
		s.runOnce(ctx)
	}
}

// runOnce looks up the zone's reader and subscribes to it, or becomes the reader.
func (s *Source) runOnce(ctx context.Context) {
	reader, err := s.lookUpReader(ctx)
	if err != nil {
		s.Log.Warn("cannot look up the zone's reader", "error", err)
		if !s.followAny(ctx) {
			s.sendState(Searching, "", "neither the store nor another VM can be reached")
			sleep(ctx, randomBackoff())
		}
		return
	}
	s.followOrReplace(ctx, reader)
}

// watch delivers the changes of a kind until ctx ends.
func (s *Source) watch(ctx context.Context, kind registry.Kind) {
	limiter := rate.NewLimiter(rate.Every(watchInterval), watchBurst)
	wait := firstWatchWait
	mustList := false
	for ctx.Err() == nil {
		if mustList || s.mustList(kind) {
			if s.list(ctx, kind, false) != nil {
				s.recordFailure()
				sleep(ctx, randomBackoff())
				continue
			}
			mustList, wait = false, watchWait
		}
		began := s.Now()
		update, err := s.Store.Watch(ctx, kind, s.knownRevision(kind), wait)
		wait = firstWatchWait
		switch {
		case ctx.Err() != nil:
			return
		case isListRequired(err):
			s.recordResponse()
			s.recordEra(update.AsOf.Era)
			s.Log.Info("listing a kind again", "kind", kind.String(), "after", s.knownRevision(kind).String(),
				"took_ms", (s.Now() - began).Milliseconds(), "cause", err)
			mustList = true
		case err != nil:
			s.recordFailure()
			s.Log.Warn("a watch failed", "kind", kind.String(), "after", s.knownRevision(kind).String(),
				"took_ms", (s.Now() - began).Milliseconds(), "error", err)
			sleep(ctx, randomBackoff())
		default:
			wait = watchWait
			if err := s.deliverUpdate(ctx, update, false); err != nil {
				s.Log.Info("discarded the response to a watch", "kind", kind.String(), "as_of", update.AsOf.String(), "cause", err)
			}
			if len(update.Records) > 0 && limiter.Wait(ctx) != nil {
				return
			}
		}
	}
}

// isListRequired reports whether a kind must be listed after its watch failed.
func isListRequired(err error) bool {
	return errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrTooManyChanges) || errors.Is(err, ErrHistoryReplaced)
}

// mustList reports whether a kind must be listed before it is watched: nothing of it is known, or only from an earlier history
// of the store, or the changes since may be larger than the kind itself.
func (s *Source) mustList(kind registry.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf[kind].IsZero() || s.asOf[kind].Era < s.era || kind == registry.Configs && s.Now()-s.confirmedAt[kind] > maxHistoryAge
}

// list reads all objects of a kind and delivers them. refreshed is true when no source of updates confirms them.
func (s *Source) list(ctx context.Context, kind registry.Kind, refreshed bool) error {
	u, err := s.Store.List(ctx, kind)
	if err == nil {
		err = s.deliverUpdate(ctx, u, refreshed)
	}
	if err != nil && ctx.Err() == nil {
		s.Log.Warn("cannot list a kind", "kind", kind.String(), "error", err)
	}
	return err
}

// deliverUpdate sends an update that the store has just returned to the control thread. Errors: errEarlierHistory,
// errOlderList.
func (s *Source) deliverUpdate(ctx context.Context, u registry.Update, refreshed bool) error {
	s.recordResponse()
	if !s.recordEra(u.AsOf.Era) {
		return errEarlierHistory
	}
	if u.Full && u.AsOf.Before(s.knownRevision(u.Kind)) {
		return errOlderList
	}
	s.sendUpdate(ctx, u, s.Now(), refreshed)
	return nil
}

// sendUpdate sends an update that the store confirmed at the given time to the control thread, and then records its
// revision. A revision that was recorded before could be the start of later changes that arrive first, and this update
// would then be ignored as an older one; it would be missing if ctx ended meanwhile. It reports whether it sent the update.
func (s *Source) sendUpdate(ctx context.Context, u registry.Update, confirmedAt time.Duration, refreshed bool) bool {
	e := Event{Update: &u, Refreshed: refreshed}
	if u.Follows(s.knownRevision(u.Kind)) {
		e.ConfirmedAt[u.Kind] = confirmedAt
	}
	if !s.send(ctx, e) {
		return false
	}
	s.advanceRevision(u, confirmedAt)
	return true
}

// recordResponse records that a response of the store has just arrived.
func (s *Source) recordResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse, s.failingSince = s.Now(), 0
}

// recordFailure records that a call to the store has failed.
func (s *Source) recordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince == 0 {
		s.failingSince = s.Now()
	}
}

// StoreFailing returns the time since which the store has not served this VM; 0 while it does.
func (s *Source) StoreFailing() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince == 0 {
		return 0
	}
	return s.Now() - s.failingSince
}

// storeLost reports whether the store does not serve this VM, a reader.
func (s *Source) storeLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	return now-s.lastResponse > storeLostAfter || s.failingSince > 0 && now-s.failingSince > storeFailingAfter
}

// advanceRevision records the store's revision after an update that it confirmed at the given time.
func (s *Source) advanceRevision(u registry.Update, confirmedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Follows(s.asOf[u.Kind]) {
		s.asOf[u.Kind] = u.AsOf
		s.confirmedAt[u.Kind] = max(s.confirmedAt[u.Kind], confirmedAt)
	}
	for i := range u.Records {
		if config := u.Records[i].Config; config != nil {
			s.configs.Add(config)
		}
	}
}

// recordConfirmations records when the store confirmed each kind to another VM.
func (s *Source) recordConfirmations(at [registry.NumKinds]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind := range at {
		s.confirmedAt[kind] = max(s.confirmedAt[kind], at[kind])
	}
}

func (s *Source) knownRevision(kind registry.Kind) registry.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf[kind]
}

func (s *Source) sendState(r Role, peer, cause string) {
	s.send(context.Background(), Event{State: &State{Role: r, Peer: peer, Cause: cause}})
}

// send sends an event to the control thread and reports whether it did so before ctx ended.
func (s *Source) send(ctx context.Context, e Event) bool {
	select {
	case s.Events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

func randomBackoff() time.Duration { return minBackoff + rand.N(maxBackoff-minBackoff) }

// sleep waits and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
