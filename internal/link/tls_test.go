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

// authority issues certificates for tests.
type authority struct{ dir string }

func newAuthority(t *testing.T) authority {
	t.Helper()
	a := authority{t.TempDir()}
	if err := keys.CreateAuthority(a.dir, "test", 0); err != nil {
		t.Fatal(err)
	}
	return a
}

// store returns the certificates of a VM and the directory that they are in.
func (a authority) store(t *testing.T, name string) (*keys.Store, string) {
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

// Guards against peers that are accepted without a certificate of the common authority for their own
// name, from either side, and against a VM that cannot be reached after such attempts.
func TestCertificates(t *testing.T) {
	t.Parallel()
	ours, theirs := newAuthority(t), newAuthority(t)
	good, _ := ours.store(t, "vm-a")
	other, _ := ours.store(t, "vm-c")
	foreign, _ := theirs.store(t, "vm-a")
	serving, _ := ours.store(t, "vm-b")
	b := startVM(t, "vm-b", secure(serving))

	refuse := func(what string, change func(*Config)) {
		a := startVM(t, "vm-a", change)
		before := b.Stats().ConnectionsRefused
		a.Dial("vm-b", b.Addr())
		eventually(t, what, func() bool { return b.Stats().ConnectionsRefused >= before+2 })
		if a.Stats().Links != 0 || b.Stats().Links != 0 || a.saw(core.LinkRefused) != 0 {
			t.Fatalf("%s: links %d and %d, events %v", what, a.Stats().Links, b.Stats().Links, a.events)
		}
		a.Close()
	}
	refuse("a certificate of another VM", secure(other))
	refuse("a certificate of another authority", secure(foreign))
	refuse("no certificate", nil)

	wrong := startVM(t, "vm-d", secure(good))
	a := startVM(t, "vm-a", secure(good))
	a.Dial("vm-d", wrong.Addr())
	a.Dial("vm-b", b.Addr())
	eventually(t, "link to the right VM", func() bool { return a.linkID("vm-b") != 0 && b.linkID("vm-a") != 0 })
	eventually(t, "attempt at the wrong VM", func() bool { return wrong.Stats().ConnectionsRefused > 0 })
	if a.linkID("vm-d") != 0 {
		t.Fatal("the dialed VM has a certificate for another name")
	}
}

// Guards against old TLS versions on the peer port.
func TestOldTLSRefused(t *testing.T) {
	a := newAuthority(t)
	serving, _ := a.store(t, "vm-b")
	dialing, _ := a.store(t, "vm-a")
	b := startVM(t, "vm-b", secure(serving))
	conn, err := tls.Dial("tcp", b.Addr().String(), &tls.Config{MaxVersion: tls.VersionTLS12, ServerName: "vm-b",
		RootCAs: dialing.Authorities(), Certificates: []tls.Certificate{*dialing.Certificate()}})
	if err == nil {
		_ = conn.Close()
		t.Fatal("TLS 1.2 was accepted")
	}
}

// Guards against a restart being needed for a renewed certificate, here one of a new authority.
func TestRenewedCertificate(t *testing.T) {
	t.Parallel()
	ours, theirs := newAuthority(t), newAuthority(t)
	storeA, dir := theirs.store(t, "vm-a")
	storeB, _ := ours.store(t, "vm-b")
	a, b := startVM(t, "vm-a", secure(storeA)), startVM(t, "vm-b", secure(storeB))
	a.Dial("vm-b", b.Addr())
	eventually(t, "refusal", func() bool { return b.Stats().ConnectionsRefused > 0 })
	if err := keys.Issue(ours.dir, dir, "vm-a", 0, true); err != nil {
		t.Fatal(err)
	}
	if changed, err := storeA.Reload(); err != nil || !changed {
		t.Fatal(changed, err)
	}
	eventually(t, "link", func() bool { return b.linkID("vm-a") != 0 })
}

// Guards against TLS records that push heartbeats over the control budget.
func TestControlBudgetTLS(t *testing.T) {
	t.Parallel()
	ours := newAuthority(t)
	storeA, _ := ours.store(t, "vm-a")
	storeB, _ := ours.store(t, "vm-b")
	measureBudget(t, startVM(t, "vm-a", secure(storeA)), startVM(t, "vm-b", secure(storeB)))
}

// Guards against a dialer that never sees why it is refused, or waits for a peer that says nothing.
func TestPlainDialerOfTLS(t *testing.T) {
	serving, _ := newAuthority(t).store(t, "vm-b")
	b := startVM(t, "vm-b", secure(serving))
	start := time.Now()
	_, err := rawHello(t, b.Addr(), &wire.Hello{Name: "vm-a", Zone: "z", MinVersion: 1, MaxVersion: 2, LinkID: 1, Peer: "vm-b"})
	if err == nil || time.Since(start) > 2*helloTimeout {
		t.Fatalf("error %v after %v", err, time.Since(start))
	}
}
