package cli

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a command that is added without an example.
func TestEachCommandHasAnExample(t *testing.T) {
	Convey("Each command's help has an example", t, func() {
		for _, cmd := range (&app{}).newRoot().Commands() {
			So(cmd.Name()+": "+cmd.Example, ShouldContainSubstring, ":   mangoweir "+cmd.Name())
		}
	})
}
