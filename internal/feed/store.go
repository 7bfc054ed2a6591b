package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// ErrHistoryGone says that the store no longer has the changes after a revision.
const ErrHistoryGone = errors.ConstError("the store has dropped this part of its history: list the kind again")

// Reader is the VM that reads the store for its zone.
type Reader struct {
	VM core.VMName `json:"vm"`
	// Address is where the VM accepts subscriptions, as host:port.
	Address string `json:"address"`
	// Revision is that of the object in the store; 0 when there is none.
	Revision uint64 `json:"-"`
}

// Store is the platform's store.
type Store interface {
	// List reads all objects of a kind.
	List(ctx context.Context, kind registry.Kind) (registry.Update, error)
	// Watch waits until objects of a kind have changed after a revision, or until wait has passed.
	// Errors: ErrHistoryGone.
	Watch(ctx context.Context, kind registry.Kind, after uint64, wait time.Duration) (registry.Update, error)
	// Reader returns the reader of a zone; its VM is empty when there is none. The answer may be
	// seconds old, as it costs a tenth of a current one.
	Reader(ctx context.Context, zone core.ZoneName) (Reader, error)
	// Claim makes r the reader of a zone if the object still has r.Revision, and returns the reader in
	// force.
	Claim(ctx context.Context, zone core.ZoneName, r Reader) (Reader, error)
}

// Event is what a Source tells the control thread.
type Event struct {
	// Update is a change, if any.
	Update *registry.Update
	// ConfirmedAt holds when the store last confirmed each kind; 0 when this event does not say.
	ConfirmedAt [registry.NumKinds]time.Duration
	// ZoneVMs is the number of VMs of the zone; 0 when this event does not say.
	ZoneVMs int
	// Observations are what other VMs saw of targets.
	Observations []registry.Observation
	// State is set when the source's own state changed.
	State *State
}

// Role is how a VM learns what the store knows.
type Role string

// Roles.
const (
	// Starting: nothing is known yet.
	Starting Role = "starting"
	// Reading: this VM watches the store.
	Reading Role = "reader"
	// Subscribed: the zone's reader passes changes on, directly or through other VMs.
	Subscribed Role = "subscriber"
	// Borrowing: some VM that heard from the store lately passes on what it knows, as neither the store
	// nor the zone's reader can be reached. That VM may borrow from this one.
	Borrowing Role = "borrower"
	// Searching: neither the store nor another VM can be reached.
	Searching Role = "searching"
)

// State is a Source's state, for the log and for readiness.
type State struct {
	Role Role
	// Peer is the VM or address that the feed comes from, if any.
	Peer string
	// Cause says why the state changed.
	Cause string
}
