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

const small = `{"deployment": "d", "zones": [{"name": "za"}], "services": [{"name": "s", "address": "10.0.0.1:1",
"targets": [{"name": "t", "address": "10.0.0.2:1", "zone": "za", "slots": 1, "connections": 1}]}]}`

// memory is a store whose writes follow a script of steps, one for each call of Put.
type memory struct {
	now   contract.StoredManifest
	steps []func(m *memory, value []byte, expect uint64) error
	reads int
}

func (m *memory) Get(context.Context, string) (platform.Object, error) {
	if m.reads == 0 {
		return platform.Object{}, &platform.UnavailableError{Err: errLost}
	}
	m.reads--
	return platform.Object{Version: uint64(m.now.Generation), Value: m.now.Text}, nil
}

func (m *memory) Put(_ context.Context, _ string, value []byte, expect uint64) (uint64, error) {
	step := m.steps[0]
	m.steps = m.steps[1:]
	err := step(m, value, expect)
	return uint64(m.now.Generation), err
}

var errLost = errors.New("answer lost")

func write(m *memory, value []byte, expect uint64) error {
	if uint64(m.now.Generation) != expect {
		return &platform.ConflictError{Expected: expect, Version: uint64(m.now.Generation)}
	}
	m.now = contract.StoredManifest{Generation: m.now.Generation + 1, Text: value}
	return nil
}

// byOther writes as n operators who read before.
func byOther(m *memory, n int) {
	for range n {
		text, err := contract.AddGenerated(m.now, []byte(small), "other", time.Now())
		if err != nil {
			panic(err)
		}
		_ = write(m, text, uint64(m.now.Generation))
	}
}

func lose(m *memory, value []byte, expect uint64) error {
	_ = write(m, value, expect)
	return &platform.UnknownOutcomeError{Err: errLost}
}

func vanish(*memory, []byte, uint64) error { return &platform.UnknownOutcomeError{Err: errLost} }

// Guards against an apply that reports the outcome of a lost answer wrongly.
func TestAccept(t *testing.T) {
	loseThenOthers := func(n int) func(*memory, []byte, uint64) error {
		return func(m *memory, value []byte, expect uint64) error {
			err := lose(m, value, expect)
			byOther(m, n)
			return err
		}
	}
	vanishThenOther := func(m *memory, _ []byte, _ uint64) error {
		byOther(m, 1)
		return &platform.UnknownOutcomeError{Err: errLost}
	}
	// late takes effect only when the second write arrives, which then meets its own effect.
	var kept []byte
	keep := func(_ *memory, value []byte, _ uint64) error {
		kept = value
		return &platform.UnknownOutcomeError{Err: errLost}
	}
	late := func(m *memory, value []byte, expect uint64) error {
		_ = write(m, kept, expect)
		return write(m, value, expect)
	}
	refuse := func(*memory, []byte, uint64) error { return &platform.UnavailableError{Err: errLost} }
	type steps = []func(*memory, []byte, uint64) error
	cases := []struct {
		name  string
		steps steps
		reads int
		gen   core.Generation
		code  int
	}{
		{"no fault", steps{write}, 0, 1, ExitDone},
		{"answer lost", steps{lose}, 1, 1, ExitDone},
		{"answer lost, others follow", steps{loseThenOthers(3)}, 1, 1, ExitDone},
		{"answer lost, too many others follow", steps{loseThenOthers(20)}, 1, 0, ExitUnknownOutcome},
		{"write lost, another is first", steps{vanishThenOther}, 1, 0, ExitFailed},
		{"write lost, written again", steps{vanish, write}, 1, 1, ExitDone},
		{"write late", steps{keep, late}, 2, 1, ExitDone},
		{"write lost again and again", steps{vanish, vanish, vanish}, 3, 0, ExitUnknownOutcome},
		{"write lost, then an outage", steps{vanish, refuse}, 1, 0, ExitUnknownOutcome},
		{"write refused", steps{refuse}, 0, 0, ExitFailed},
		{"answer lost, reading back fails", steps{lose}, 0, 0, ExitUnknownOutcome},
	}
	Convey("The outcome is reported as it is", t, func() {
		for _, c := range cases {
			m := &memory{steps: c.steps, reads: c.reads}
			gen, err := accept(context.Background(), m, contract.StoredManifest{}, []byte(small))
			code := ExitDone
			if err != nil {
				code = exitCode(err)
			}
			So([]any{c.name, gen, code, len(m.steps)}, ShouldResemble, []any{c.name, c.gen, c.code, 0})
		}
	})
}
