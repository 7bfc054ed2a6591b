package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/internal/load"
)

// Guards against flags that are not passed to the load tool, and against output that is not JSON with
// --json.
func TestLoadCommand(t *testing.T) {
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := NewLoadCommand()
		cmd.SilenceErrors, cmd.SilenceUsage = true, true
		cmd.SetArgs(args)
		cmd.SetOut(&out)
		err := cmd.Execute()
		return out.String(), err
	}
	Convey("The command runs a load and prints its summary", t, func() {
		silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer silent.Close()
		out, err := run("--service", silent.LocalAddr().String(), "--json", "--seed", "5", "--callers", "2",
			"--reads", "50", "--duration", "100ms", "--deadline", "100ms")
		So(err, ShouldBeNil)
		var s load.Summary
		So(json.Unmarshal([]byte(out), &s), ShouldBeNil)
		So([]any{s.Seed, s.Clients, s.Classes[1].Answered}, ShouldResemble, []any{uint64(5), 2, uint64(0)})
	})
	Convey("Errors about bad flags contain the value", t, func() {
		_, err := run("--service", "here")
		So(err.Error(), ShouldContainSubstring, `"here"`)
		_, err = run("--callers", "-1")
		So(err.Error(), ShouldContainSubstring, "callers is -1")
	})
}
