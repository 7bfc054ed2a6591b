package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
	standin "github.com/mangoweir/mangoweir/internal/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mangoweir": func() { os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts guards against commands whose output, exit code or effect differs from the documentation.
// In the scripts, $PLATFORM is the URL of the platform stand-in and $VM that of an entry VM's HTTP port. $STORE is the address of the
// users' store with version 7 of a configuration, $EMPTY_STORE that of one without.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			// A process built with -race otherwise sleeps for 1 s before it exits.
			e.Setenv("GORACE", "atexit_sleep_ms=0")
			return startServers(e)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": controlPlatform,
			"exits":    checkExitCode,
		},
	})
}

type standinKey struct{}

func startServers(e *testscript.Env) error {
	server := standin.New()
	url, err := server.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	client, err := platform.NewClient(url, platform.Options{Timeout: 200 * time.Millisecond})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(platform.ObjectsPath, platform.Proxy(client))
	mux.HandleFunc("GET "+platform.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		platform.WriteStatus(w, platform.Status{Generation: 3, VMs: []core.VMStatus{
			{Name: "vm-2", Zone: "zb", Generation: 2, State: core.VMLive, HeartbeatAgeMillis: 250},
			{Name: "vm-1", Zone: "za", Generation: 3, State: core.VMLeaving},
		}})
	})
	vm := httptest.NewServer(mux)
	e.Defer(vm.Close)
	e.Defer(func() { _ = server.Close() })
	e.Values[standinKey{}] = server
	e.Setenv("PLATFORM", url)
	e.Setenv("VM", vm.URL)
	e.Setenv("STORE", startStore(e, `{"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","pathPrefix":"/443/","service":"a","timeoutMs":4000}],`+
		`"services":[{"name":"a"},{"name":"b"}],"limits":{"idleTimeoutMs":15000}}`))
	e.Setenv("EMPTY_STORE", startStore(e, ""))
	return nil
}

// startStore starts a stand-in of the users' store with a configuration, unless it is empty, and returns its address.
func startStore(e *testscript.Env, config string) string {
	store := objects.New()
	if config != "" {
		store.PutRaw("config", registry.ConfigName, json.RawMessage(config))
	}
	server := httptest.NewServer(store)
	e.Defer(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// controlPlatform is the script command that sets and checks objects and faults of the platform stand-in.
func controlPlatform(ts *testscript.TestScript, neg bool, args []string) {
	server := ts.Value(standinKey{}).(*standin.Server)
	outages := map[string]standin.Outage{"up": standin.Up, "refusing": standin.Refusing, "disconnecting": standin.Disconnecting}
	switch args[0] {
	case "outage":
		server.SetOutage(outages[args[1]])
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		server.LoseResponses(n)
	case "lose-and-fail":
		// The next write takes effect, its response is lost, and all later calls fail.
		server.LoseResponses(1)
		server.OnPut(func(string) { server.SetOutage(standin.Disconnecting); server.OnPut(nil) })
	case "race":
		// Another operator applies the file between the read and the write of the next command.
		text := []byte(ts.ReadFile(args[1]))
		server.OnPut(func(key string) { server.OnPut(nil); applyAsOtherOperator(ts, server, text) })
	case "set":
		server.Set(args[1], []byte(ts.ReadFile(args[2])))
	case "version":
		if got := strconv.FormatUint(server.Object(args[1]).Version, 10); got != args[2] {
			ts.Fatalf("version of %s is %s, want %s", args[1], got, args[2])
		}
	default:
		ts.Fatalf("unknown subcommand %q of platform", args[0])
	}
}

func applyAsOtherOperator(ts *testscript.TestScript, server *standin.Server, text []byte) {
	object := server.Object(platform.ManifestKey)
	stored, err := contract.AddGenerated(contract.StoredManifest{Generation: core.Generation(object.Version), Text: object.Value},
		text, fmt.Sprint("other-", object.Version), time.Now())
	ts.Check(err)
	server.Set(platform.ManifestKey, stored)
}

// checkExitCode is the script command that runs the program in args[1:] and checks that its exit code is
// args[0].
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	if exit, ok := err.(interface{ ExitCode() int }); ok {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}
