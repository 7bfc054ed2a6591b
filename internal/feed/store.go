package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// ErrHistoryGone reports that the store no longer has the changes after a revision.
const ErrHistoryGone = errors.ConstError("the store has dropped this part of its history: list the kind again")

// ErrHistoryReplaced reports that the store's response belongs to another history than the revision of the call: the store has come
// back from an earlier copy.
const ErrHistoryReplaced = errors.ConstError("the store has another history than this revision: list the kind again")

// ErrTooManyChanges reports that a watch returned more changes than arrived in time, or than a response may contain.
const ErrTooManyChanges = errors.ConstError("the changes since this revision do not arrive in time: list the kind instead")

// Reader is the VM that reads the store for its zone.
type Reader struct {
	VM core.VMName `json:"vm"`
	// Address is where the VM accepts subscriptions, as host:port.
	Address string `json:"address"`
	// Incarnation differs between two processes on a VM. A write that changes nothing leaves the revision of an
	// object as it is, so that without it a VM that has restarted could not be told from one that is lost.
	Incarnation uint64 `json:"incarnation"`
	// Revision is the revision of the reader's object in the store. When there is none, its Number is 0 and its Era the
	// history that has none.
	Revision registry.Revision `json:"-"`
}

// Store is the platform's store.
type Store interface {
	// List reads all objects of a kind.
	List(ctx context.Context, kind registry.Kind) (registry.Update, error)
	// Watch waits until objects of a kind have changed after a revision, or until wait has passed.
	// Errors: ErrHistoryGone, ErrTooManyChanges, and ErrHistoryReplaced, with which the update has the era of the response.
	Watch(ctx context.Context, kind registry.Kind, after registry.Revision, wait time.Duration) (registry.Update, error)
	// Reader returns the reader of a zone; its VM is empty when there is none. With staleOK the result may be some seconds
	// old, and the call costs a tenth of one with an up-to-date result.
	Reader(ctx context.Context, zone core.ZoneName, staleOK bool) (Reader, error)
	// Claim makes r the reader of a zone if the object still has the number of r.Revision, and returns the zone's reader
	// after the call. Its Revision tells in which history the condition was met.
	Claim(ctx context.Context, zone core.ZoneName, r Reader) (Reader, error)
}

// Event is an event that a Source sends to the control thread.
type Event struct {
	// Update has changes of a kind of object, if any.
	Update *registry.Update
	// ConfirmedAt is when the store last confirmed each kind; 0 when this event has no such time.
	ConfirmedAt [registry.NumKinds]time.Duration
	// Refreshed is true for data that this VM has read because no source of updates confirmed it. It does not make the
	// VM's feed fresh: VMs that subscribe to each other would never look for a reader again.
	Refreshed bool
	// ReturnedZones are the zones that were taken back into service a short time ago.
	ReturnedZones []registry.ReturnedZone
	// ZoneVMs is the number of VMs of the zone; 0 when this event does not have it.
	ZoneVMs int
	// Members are the VMs of a zone; nil when this event does not have them.
	Members *Members
	// Ejections take targets out of placement.
	Ejections []registry.Ejection
	// Observations are changes of targets that other VMs detected.
	Observations []registry.Observation
	// Load is the load of the targets of a zone, as its reader computed it at LoadAt; nil when this event does not have it.
	Load   *Load
	LoadAt time.Duration
	// State is set when the source's own state changed.
	State *State
}

// Role is the way in which a VM receives the changes of the store.
type Role string

// Roles of a VM.
const (
	// Starting: the VM has no data yet.
	Starting Role = "starting"
	// Reading: this VM watches the store.
	Reading Role = "reader"
	// Subscribed: the zone's reader sends the changes, directly or through other VMs.
	Subscribed Role = "subscriber"
	// Borrowing: neither the store nor the zone's reader can be reached, and some other VM whose data is
	// fresh sends it. That VM may at the same time subscribe to this one.
	Borrowing Role = "borrower"
	// Searching: neither the store nor another VM can be reached.
	Searching Role = "searching"
)

// State is a Source's state, for the log and for readiness.
type State struct {
	Role Role
	// Peer is the VM or address that the feed comes from, if any.
	Peer string
	// Cause is the reason for the change of state.
	Cause string
}
