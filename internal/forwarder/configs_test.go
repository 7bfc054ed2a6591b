package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// configUpdate returns an update with a version of a configuration of 1,400 routes, the number of the largest one of the
// users' deployments.
func configUpdate(version uint64) *registry.Update {
	config := &registry.Config{Version: version}
	for i := range 1400 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(i % 250)}), 8443)
		config.Routes = append(config.Routes, registry.Route{
			Name: fmt.Sprintf("r-%07d", i), Addr: addr, Backends: []registry.Backend{{Service: "desk", Weight: 1}},
		})
	}
	return &registry.Update{Kind: registry.Configs, AsOf: rev(version), Records: []registry.Record{{
		Name: registry.ConfigName, Revision: rev(version), Config: config,
	}}}
}

// Guards against configurations that arrive ever later at the subscribers of a VM with a small link: each version waited
// behind all earlier ones, and the data counted as confirmed when it was queued (issue 21).
func TestBusySubscriberSkipsConfigurations(t *testing.T) {
	const (
		versions = 40
		wait     = 200 * time.Millisecond
	)
	c, server, conn := testSubscription(t)
	// The subscriber does not read meanwhile, as if its link carried nothing.
	for version := range uint64(versions) {
		c.handleUpdate(configUpdate(version+1), c.shared.clock.now(), false)
	}
	time.Sleep(wait)
	c.registry.Confirm(registry.Configs, c.shared.clock.now())
	c.heartbeat()

	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	subscriber := bufio.NewReader(conn)
	received, last := 0, uint64(0)
	var age time.Duration
	for last < versions {
		var m feedpb.Message
		if err := protodelim.UnmarshalFrom(subscriber, &m); err != nil {
			t.Fatalf("version %d is the last of %d that arrive: %v", last, received, err)
		}
		for _, u := range m.Updates {
			received++
			last = u.Records[0].Config.Version
			acknowledgement := &feedpb.Subscribe{Acknowledges: true, ConfigVersion: last}
			if _, err := protodelim.MarshalTo(conn, acknowledgement); err != nil {
				t.Fatal(err)
			}
			<-server.Acknowledged()
		}
		if len(m.Updates) == 0 {
			age = time.Duration(m.AgeMillis[registry.Configs]) * time.Millisecond
		}
		c.sendDueConfigs()
	}
	if received != 2 {
		t.Errorf("%d of %d versions were sent, want the first and the last", received, versions)
	}
	if age < wait {
		t.Errorf("the heartbeat before the newest version gives the older one an age of %s, want %s or more", age, wait)
	}
}

// Guards against a small link that is busy with versions of a large configuration which differ in a route or two: probes of
// targets took so long behind them that living targets counted as silent (day small-reader, FLOW).
func TestSubscribersGetChangesOfConfigurations(t *testing.T) {
	c, server, conn := testSubscription(t)
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	subscriber := bufio.NewReader(conn)
	next := func() (update *feedpb.Update, bytes int) {
		t.Helper()
		for {
			var m feedpb.Message
			if err := protodelim.UnmarshalFrom(subscriber, &m); err != nil {
				t.Fatal(err)
			}
			if len(m.Updates) > 0 {
				return m.Updates[0], proto.Size(&m)
			}
		}
	}
	c.handleUpdate(configUpdate(1), c.shared.clock.now(), false)
	if first, _ := next(); first.Records[0].Config.Base != 0 {
		t.Errorf("the first configuration is sent as changes to version %d", first.Records[0].Config.Base)
	}
	if _, err := protodelim.MarshalTo(conn, &feedpb.Subscribe{Acknowledges: true, ConfigVersion: 1}); err != nil {
		t.Fatal(err)
	}
	<-server.Acknowledged()
	update := configUpdate(2)
	update.Records[0].Config.Routes[7].Priority = 3
	c.handleUpdate(update, c.shared.clock.now(), false)
	second, bytes := next()
	if config := second.Records[0].Config; config.Base != 1 || len(config.Routes) != 1 || bytes > 1000 {
		t.Errorf("version 2 is sent as changes to version %d with %d routes in %d bytes, want one route", config.Base, len(config.Routes), bytes)
	}
}

// Guards against VMs of an earlier version that get no configuration during an update of the deployment: they do not
// acknowledge configurations, and cannot apply changes to one.
func TestEarlierVersionsGetWholeConfigurations(t *testing.T) {
	c, server, _ := testSubscription(t)
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := protodelim.MarshalTo(conn, &feedpb.Subscribe{Vm: "vm-3", Zone: "zone-a", Vms: 1}); err != nil {
		t.Fatal(err)
	}
	c.addSubscriber(<-server.Subscriptions())
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	subscriber := bufio.NewReader(conn)
	for version := uint64(1); version <= 3; version++ {
		c.handleUpdate(configUpdate(version), c.shared.clock.now(), false)
		var m feedpb.Message
		for len(m.Updates) == 0 {
			if err := protodelim.UnmarshalFrom(subscriber, &m); err != nil {
				t.Fatalf("version %d: %v", version, err)
			}
		}
		if config := m.Updates[0].Records[0].Config; config.Version != version || config.Base != 0 {
			t.Errorf("got version %d as changes to version %d, want version %d whole", config.Version, config.Base, version)
		}
	}
}
