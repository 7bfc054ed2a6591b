package hangup

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
)

// TestMain runs the processes that TestHangup starts. They do not call signal.Notify and run until their
// standard input ends.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "forward" || os.Args[1] == "demo") {
		fmt.Println("started")
		if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// endingSignal starts a process with a command as its first argument, sends it SIGHUP and returns the signal
// that ended it; 0 when it ended by itself.
func endingSignal(t *testing.T, command string) syscall.Signal {
	t.Helper()
	cmd := exec.Command(os.Args[0], command)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := in.Close(); err != nil {
		t.Fatal(err)
	}
	err = cmd.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		if err != nil {
			t.Fatal(err)
		}
		return 0
	}
	return exit.Sys().(syscall.WaitStatus).Signal()
}

// Guards against SIGHUP that ends a daemon while it starts, after a change of its settings (soak seed 213).
func TestHangup(t *testing.T) {
	// A child process inherits from its parent, for example nohup, that SIGHUP is ignored, but not that it is
	// handled.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	if s := endingSignal(t, "forward"); s != 0 {
		t.Errorf("signal %s ended a starting daemon", s)
	}
	if s := endingSignal(t, "demo"); s != syscall.SIGHUP {
		t.Errorf("SIGHUP did not end a command that runs on a terminal (%d)", s)
	}
}
