package registry

import (
	"cmp"
	"fmt"
)

// Revision is a revision of the store. After the store has come back from an earlier copy of itself it gives out numbers
// again, so that a number has a meaning only within one history. Every history has a higher Era than those before.
type Revision struct {
	// Era is the number of the history; 0 when it is not known, as in messages of VMs with an earlier release.
	Era uint64
	// Number is the revision within the history; 0 for none.
	Number uint64
}

// Compare returns -1, 0 or 1 when v is earlier than, equal to or later than other. Each revision of a later history is
// later than all of an earlier one.
func (v Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number))
}

// Before reports whether v is earlier than other.
func (v Revision) Before(other Revision) bool { return v.Compare(other) < 0 }

// IsZero reports whether v is no revision.
func (v Revision) IsZero() bool { return v == Revision{} }

// String returns the revision as logs show it.
func (v Revision) String() string { return fmt.Sprintf("%d/%d", v.Era, v.Number) }

// Follows reports whether the update can be applied to objects of its kind as of a revision: it is not older, and changes
// belong to the same history. The objects of another history can only be replaced as a whole.
func (u *Update) Follows(known Revision) bool {
	switch {
	case known.IsZero():
		return true
	case u.AsOf.Era == known.Era:
		return !u.AsOf.Before(known)
	default:
		return u.Full && known.Before(u.AsOf)
	}
}
