package forwarder

import (
	"bufio"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// listInEra returns a list of targets without a target.
func listInEra(era, number uint64) *registry.Update {
	return &registry.Update{Kind: registry.Targets, Full: true, AsOf: registry.Revision{Era: era, Number: number}}
}

// Guards against updates of an earlier history of the store that are sent on, or that confirm the data of a later one.
func TestUpdatesOfEarlierHistoryConfirmNothing(t *testing.T) {
	c, subscriber := testControl(t)
	now := c.shared.clock.now()
	event := func(u *registry.Update, at time.Duration) feed.Event {
		e := feed.Event{Update: u}
		e.ConfirmedAt[u.Kind] = at
		return e
	}
	c.handleEvent(event(listInEra(1, 30), now-3*time.Second))
	c.handleEvent(event(listInEra(2, 25), now-2*time.Second))
	c.handleEvent(event(listInEra(1, 31), now))
	if got := c.registry.ConfirmedAt(registry.Targets); got != now-2*time.Second {
		t.Errorf("a list of the earlier history confirmed the targets %s before now, want 2s", now-got)
	}
	if n := countUpdates(subscriber); n != 2 {
		t.Errorf("the subscriber got %d updates, want those of the two histories", n)
	}
}

// Guards against a VM whose logs and metrics do not tell which history of the store it has.
func TestMetricsShowHistory(t *testing.T) {
	c, _ := testControl(t)
	now := c.shared.clock.now()
	list := listInEra(1, 30)
	list.Records = []registry.Record{{Name: "i-1", Revision: registry.Revision{Era: 1, Number: 9}, Target: &registry.Target{}}}
	c.handleUpdate(list, now, false)
	c.handleUpdate(listInEra(2, 25), now, false)
	c.handleUpdate(&registry.Update{Kind: registry.Configs, Full: true, AsOf: registry.Revision{Era: 1, Number: 30}, Records: []registry.Record{
		{Name: registry.ConfigName, Config: &registry.Config{Version: 1}},
	}}, now, false)
	c.handleUpdate(&registry.Update{Kind: registry.ZonesOut, Full: true, AsOf: registry.Revision{Era: 1, Number: 30}}, now, false)
	c.publish()
	var b strings.Builder
	c.metrics.set.WritePrometheus(&b)
	for _, want := range []string{
		`mangoweir_store_era{kind="targets"} 2`, `mangoweir_store_era{kind="config"} 1`, "mangoweir_held_records 1",
	} {
		if !strings.Contains(b.String(), want+"\n") {
			t.Errorf("the metrics lack %s", want)
		}
	}
}

// Guards against a VM that keeps the objects of an earlier history because their revisions have larger numbers, and against
// one that started with the configuration of the copy.
func TestSubscriberWithEarlierHistory(t *testing.T) {
	c, server, _ := testSubscription(t)
	now := c.shared.clock.now()
	c.handleUpdate(listInEra(2, 25), now, false)
	c.handleUpdate(&registry.Update{Kind: registry.ZonesOut, Full: true, AsOf: registry.Revision{Era: 2, Number: 25}}, now, false)
	c.handleUpdate(&registry.Update{Kind: registry.Configs, Full: true, AsOf: registry.Revision{Era: 2, Number: 25}, Records: []registry.Record{
		{Name: registry.ConfigName, Config: &registry.Config{Version: 15}},
	}}, now, false)
	for _, test := range []struct {
		name      string
		subscribe *feedpb.Subscribe
		want      []registry.Kind
	}{
		{"the earlier history", &feedpb.Subscribe{AsOf: []uint64{40, 40, 40}, Eras: []uint64{1, 1, 1}, ConfigVersion: 15},
			[]registry.Kind{registry.Targets, registry.Configs, registry.ZonesOut}},
		{"a release that sends no history", &feedpb.Subscribe{AsOf: []uint64{40, 40, 40}, ConfigVersion: 15},
			[]registry.Kind{registry.Targets, registry.Configs, registry.ZonesOut}},
		{"an earlier configuration of the same history", &feedpb.Subscribe{AsOf: []uint64{25, 25, 25}, Eras: []uint64{2, 2, 2}, ConfigVersion: 11},
			[]registry.Kind{registry.Configs}},
		{"everything", &feedpb.Subscribe{AsOf: []uint64{25, 25, 25}, Eras: []uint64{2, 2, 2}, ConfigVersion: 15}, nil},
	} {
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		test.subscribe.Vm, test.subscribe.Zone, test.subscribe.Vms, test.subscribe.Acknowledges = "vm-3", "zone-a", 1, true
		if _, err := protodelim.MarshalTo(conn, test.subscribe); err != nil {
			t.Fatal(err)
		}
		c.addSubscriber(<-server.Subscriptions())
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		var m feedpb.Message
		if err := protodelim.UnmarshalFrom(bufio.NewReader(conn), &m); err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		var kinds []registry.Kind
		for _, u := range m.Updates {
			kinds = append(kinds, registry.Kind(u.Kind))
		}
		if !slices.Equal(kinds, test.want) || !slices.Equal(m.Eras, []uint64{2, 2, 2}) {
			t.Errorf("a VM with %s gets %v with eras %v, want %v of era 2", test.name, kinds, m.Eras, test.want)
		}
		_ = conn.Close()
	}
}
