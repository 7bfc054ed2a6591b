package control_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against a manifest that never comes into force on mangoweir serve because the platform, restored from an earlier copy,
// gives out the generation of another one again (issue 24).
func TestGenerationThatIsGivenOutAgain(t *testing.T) {
	t.Parallel()
	c := newFleet(1, 4)
	c.accept(copyConfig(c.configs[1]))
	c.advance(3 * time.Second)
	// The copy has generation 1. Operators write another manifest, which becomes generation 2 again.
	c.platform.generation = 1
	c.advance(2 * time.Second)
	next := copyConfig(c.configs[1])
	next.Zones[0].State = core.ZoneOut
	c.accept(next)
	c.advance(10 * time.Second)
	for _, v := range c.vms {
		if v.snapshot.Config != next {
			t.Errorf("%s has generation %d of the lost history in force", v.name, v.snapshot.Config.Generation)
		}
	}
}
