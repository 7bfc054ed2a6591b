package forwarder

import (
	"bufio"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// requestState subscribes to the state of a control thread and returns the message it sends, or nil. then, if it is
// not nil, is called after the subscription.
func requestState(t *testing.T, c *control, then func()) *feedpb.Message {
	t.Helper()
	server, err := feed.Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := protodelim.MarshalTo(conn, &feedpb.Subscribe{Vm: "vm-9", Zone: "zone-a", StateOnly: true}); err != nil {
		t.Fatal(err)
	}
	subscribers := len(c.subscribers)
	c.addSubscriber(<-server.Subscriptions())
	if len(c.subscribers) != subscribers {
		t.Error("a VM that wants the state only is a subscriber")
	}
	if then != nil {
		then()
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var m feedpb.Message
	if protodelim.UnmarshalFrom(bufio.NewReader(conn), &m) != nil {
		return nil
	}
	return &m
}

// Guards against a VM that starts with a part of the objects or with old ones, or that counts a cold start from the
// wrong time.
func TestSendState(t *testing.T) {
	c, _ := testControl(t)
	if requestState(t, c, nil) != nil {
		t.Error("a VM without data sends its state")
	}
	confirmed := c.shared.clock.now()
	receive := func() {
		for _, u := range []registry.Update{
			{Kind: registry.Targets, Full: true, AsOf: rev(7), Records: []registry.Record{{Name: "i-1", Revision: rev(7), Target: &registry.Target{
				StartMillis: 1000, Addr: netip.MustParseAddrPort("10.0.0.1:80"), ColdRemaining: 5 * time.Second,
			}}}},
			{Kind: registry.Configs, Full: true, AsOf: rev(8), Records: []registry.Record{{Name: registry.ConfigName, Revision: rev(8), Config: &registry.Config{Version: 3}}}},
			{Kind: registry.ZonesOut, Full: true, AsOf: rev(9)},
		} {
			c.handleUpdate(&u, confirmed, false)
		}
		c.publish()
	}
	if requestState(t, c, receive) == nil {
		t.Error("a VM that has received its data does not send the state to a VM that has waited for it")
	}
	for range 2 {
		time.Sleep(20 * time.Millisecond)
		least := c.shared.clock.now() - confirmed
		m := requestState(t, c, nil)
		if m == nil || len(m.Updates) != registry.NumKinds {
			t.Fatalf("the state is %v", m)
		}
		age := time.Duration(m.AgeMillis[registry.Targets]) * time.Millisecond
		cold := time.Duration(m.Updates[registry.Targets].Records[0].Target.ColdMillis) * time.Millisecond
		// The receiver counts the remaining cold start from the time that the age gives.
		if most := c.shared.clock.now() - confirmed; age > most || age < least.Truncate(time.Millisecond) || cold != 5*time.Second {
			t.Errorf("the state has the age %s, want %s to %s, and the cold start %s", age, least, most, cold)
		}
	}
	// The objects have not changed, but the store has confirmed them since. A VM refuses a state that seems older.
	time.Sleep(maxEncodedAge)
	for kind := range registry.Kind(registry.NumKinds) {
		c.registry.Confirm(kind, c.shared.clock.now())
	}
	m := requestState(t, c, nil)
	if m == nil {
		t.Fatal("no state although the store has confirmed it")
	}
	if age := time.Duration(m.AgeMillis[registry.Targets]) * time.Millisecond; age > maxEncodedAge {
		t.Errorf("the state has the age %s although the store has just confirmed it", age)
	}
	u := registry.Update{Kind: registry.ZonesOut, AsOf: rev(12), Records: []registry.Record{{Name: "zone-b", Revision: rev(12)}}}
	c.handleUpdate(&u, c.shared.clock.now(), false)
	if m := requestState(t, c, nil); m == nil || len(m.Updates[registry.ZonesOut].Records) != 1 {
		t.Errorf("the state lacks the last change: %v", m)
	}
	u = registry.Update{Kind: registry.ZonesOut, AsOf: rev(13), Records: []registry.Record{{Name: "zone-b", Revision: rev(13), Removed: true}}}
	c.handleUpdate(&u, c.shared.clock.now(), false)
	if m := requestState(t, c, nil); m == nil || len(m.ReturnedZones) != 1 || m.ReturnedZones[0].Zone != "zone-b" {
		t.Errorf("the state lacks the zone that was taken back into service: %v", m)
	}
	for c.shared.clock.now() < c.registry.FreshUntil() {
		time.Sleep(50 * time.Millisecond)
	}
	if requestState(t, c, nil) != nil {
		t.Error("a VM whose data is stale sends its state")
	}
}
