package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against equal attempt tokens of two VMs whose processes start at the same moment. Targets handled
// such attempts as retransmissions and sent the answers of earlier requests.
func TestAttemptSource(t *testing.T) {
	Convey("VMs with equal incarnations, and processes of one VM, have different sources", t, func() {
		seen := map[AttemptSource]bool{}
		for _, vm := range []VMName{"vm-1", "vm-2", "vm-3"} {
			for inc := range Incarnation(100) {
				seen[NewAttemptSource(vm, inc)] = true
			}
		}
		So(len(seen), ShouldEqual, 300)
	})
}
