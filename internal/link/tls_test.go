package link

import (
	"crypto/tls"
	"log/slog"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/keys"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// testCA is a certificate authority for tests.
type testCA struct{ dir string }

func newTestCA(t *testing.T) testCA {
	t.Helper()
	a := testCA{t.TempDir()}
	if err := keys.CreateAuthority(a.dir, "test", 0); err != nil {
		t.Fatal(err)
	}
	return a
}

// issue issues the certificates of a VM and returns them and their directory.
func (a testCA) issue(t *testing.T, name string) (*keys.Store, string) {
	t.Helper()
	dir := t.TempDir()
	if err := keys.Issue(a.dir, dir, name, 0, false); err != nil {
		t.Fatal(err)
	}
	s, err := keys.Load(keys.FilesIn(dir, name), name, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s, dir
}

func secure(c Credentials) func(*Config) { return func(cfg *Config) { cfg.Credentials = c } }

// Guards against accepting, on either side, a peer without a certificate of the common CA for its own
// name, and against a VM that cannot be reached after such attempts.
func TestCertificates(t *testing.T) {
	t.Parallel()
	ca, otherCA := newTestCA(t), newTestCA(t)
	valid, _ := ca.issue(t, "vm-a")
	otherName, _ := ca.issue(t, "vm-c")
	foreignCA, _ := otherCA.issue(t, "vm-a")
	credentialsB, _ := ca.issue(t, "vm-b")
	b := startVM(t, "vm-b", secure(credentialsB))

	expectRefused := func(what string, change func(*Config)) {
		a := startVM(t, "vm-a", change)
		before := b.Stats().ConnectionsRefused
		a.Dial("vm-b", b.Addr())
		eventually(t, what, func() bool { return b.Stats().ConnectionsRefused >= before+2 })
		if a.Stats().Links != 0 || b.Stats().Links != 0 || a.reported(core.LinkRefused) != 0 {
			t.Fatalf("%s: links %d and %d, events %v", what, a.Stats().Links, b.Stats().Links, a.events)
		}
		a.Close()
	}
	expectRefused("a certificate of another VM", secure(otherName))
	expectRefused("a certificate of another CA", secure(foreignCA))
	expectRefused("no certificate", nil)

	wrong := startVM(t, "vm-d", secure(valid))
	a := startVM(t, "vm-a", secure(valid))
	a.Dial("vm-d", wrong.Addr())
	a.Dial("vm-b", b.Addr())
	eventually(t, "link to the right VM", func() bool { return a.linkID("vm-b") != 0 && b.linkID("vm-a") != 0 })
	eventually(t, "attempt at the wrong VM", func() bool { return wrong.Stats().ConnectionsRefused > 0 })
	if a.linkID("vm-d") != 0 {
		t.Fatal("linked to a VM that has a certificate for another name")
	}
}

// Guards against accepting TLS versions before 1.3 on the peer port.
func TestOldTLSRefused(t *testing.T) {
	ca := newTestCA(t)
	credentialsB, _ := ca.issue(t, "vm-b")
	credentialsA, _ := ca.issue(t, "vm-a")
	b := startVM(t, "vm-b", secure(credentialsB))
	conn, err := tls.Dial("tcp", b.Addr().String(), &tls.Config{MaxVersion: tls.VersionTLS12, ServerName: "vm-b",
		RootCAs: credentialsA.Authorities(), Certificates: []tls.Certificate{*credentialsA.Certificate()}})
	if err == nil {
		_ = conn.Close()
		t.Fatal("TLS 1.2 was accepted")
	}
}

// Guards against a renewed certificate, here one of another CA, that is used only after a restart.
func TestRenewedCertificate(t *testing.T) {
	t.Parallel()
	ca, otherCA := newTestCA(t), newTestCA(t)
	storeA, dir := otherCA.issue(t, "vm-a")
	storeB, _ := ca.issue(t, "vm-b")
	a, b := startVM(t, "vm-a", secure(storeA)), startVM(t, "vm-b", secure(storeB))
	a.Dial("vm-b", b.Addr())
	eventually(t, "refusal", func() bool { return b.Stats().ConnectionsRefused > 0 })
	if err := keys.Issue(ca.dir, dir, "vm-a", 0, true); err != nil {
		t.Fatal(err)
	}
	if changed, err := storeA.Reload(); err != nil || !changed {
		t.Fatal(changed, err)
	}
	eventually(t, "link", func() bool { return b.linkID("vm-a") != 0 })
}

// Guards against heartbeats that exceed the control budget because of TLS records.
func TestControlBudgetTLS(t *testing.T) {
	t.Parallel()
	ca := newTestCA(t)
	storeA, _ := ca.issue(t, "vm-a")
	storeB, _ := ca.issue(t, "vm-b")
	measureBudget(t, startVM(t, "vm-a", secure(storeA)), startVM(t, "vm-b", secure(storeB)))
}

// Guards against a dialer without TLS that is not refused, or that waits for longer than the time limit
// of the handshake, when the peer requires TLS.
func TestPlainDialerOfTLS(t *testing.T) {
	credentialsB, _ := newTestCA(t).issue(t, "vm-b")
	b := startVM(t, "vm-b", secure(credentialsB))
	start := time.Now()
	_, err := rawHello(t, b.Addr(), &wire.Hello{Name: "vm-a", Zone: "z", MinVersion: 1, MaxVersion: 2, LinkID: 1, Peer: "vm-b"})
	if err == nil || time.Since(start) > 2*helloTimeout {
		t.Fatalf("error %v after %v", err, time.Since(start))
	}
}
