package forward

import (
	"testing"
	"time"
)

// sendUpload sends the packets of a request of 80,000 bytes and its response.
func sendUpload(f *Forwarder, flow Flow, token Token, now time.Duration) {
	for i := range 67 {
		packet := data(flow, token, uint32(i*1200), 900)
		packet.Length = 1200
		f.Handle(packet, now+time.Duration(i)*time.Millisecond)
	}
	f.Handle(ack(flow, token, 1200), now+70*time.Millisecond)
}

// Guards against uploads that fill a small link, so that the packets of all routes wait behind them (uploads that ask 6 times as much
// on cm-craftmart-grown: urgent requests .86), and against limits on routes with small requests.
func TestUploadsOnSmallLink(t *testing.T) {
	placed := func(mbps float64, large bool) int {
		snapshot := testSnapshot(4)
		f := testForwarder(snapshot)
		f.SetLinkCapacity(mbps * 1e6)
		for i := range 5 {
			flow := testFlow(i)
			if large {
				sendUpload(f, flow, snapshot.service().Local[0].Token, time.Duration(i)*time.Second)
				continue
			}
			f.Handle(data(flow, snapshot.service().Local[0].Token, 100, 900), time.Duration(i)*time.Second)
			f.Handle(ack(flow, snapshot.service().Local[0].Token, 1200), time.Duration(i)*time.Second+70*time.Millisecond)
		}
		n := 0
		for i := range 40 {
			if d := f.Handle(syn(testFlow(100+i), 0), 10*time.Second); d.Action == Forward {
				n++
			} else if d.Reason != LinkFull {
				t.Errorf("a flow is dropped because of %s", d.Reason)
			}
		}
		return n
	}
	// Six uploads with 16 packets of 1,200 bytes in flight queue for 92 ms on 10 Mbit/s.
	if n := placed(10, true); n != 6 {
		t.Errorf("%d of 40 uploads start on a link of 10 Mbit/s, want 6", n)
	}
	if n := placed(200, true); n != 40 {
		t.Errorf("%d of 40 uploads start on a link of 200 Mbit/s, want all", n)
	}
	if n := placed(10, false); n != 40 {
		t.Errorf("%d of 40 flows with small requests are placed, want all", n)
	}
	if n := placed(0, true); n != 40 {
		t.Errorf("%d of 40 uploads start on a link of unknown capacity, want all", n)
	}
}

// Guards against a link that stays closed to uploads after those under way have been answered, have ended or have vanished.
func TestUploadsEnd(t *testing.T) {
	for name, end := range map[string]func(f *Forwarder, flow Flow, token Token){
		"answered": func(f *Forwarder, flow Flow, token Token) {
			f.Handle(data(flow, token, 0, 900), 10*time.Second)
			f.Handle(ack(flow, token, 1200), 10*time.Second)
		},
		"closed": func(f *Forwarder, flow Flow, token Token) {
			fin := ack(flow, token, 900)
			fin.Flags |= FIN
			f.Handle(fin, 10*time.Second)
		},
		"vanished": func(*Forwarder, Flow, Token) {},
	} {
		snapshot := testSnapshot(4)
		f := testForwarder(snapshot)
		f.SetLinkCapacity(10e6)
		for i := range 5 {
			sendUpload(f, testFlow(i), snapshot.service().Local[0].Token, time.Duration(i)*time.Second)
		}
		for i := range 6 {
			flow := testFlow(100 + i)
			d := f.Handle(syn(flow, 0), 10*time.Second)
			if d.Action != Forward {
				t.Fatalf("%s: upload %d is dropped", name, i)
			}
			end(f, flow, d.Target.Token)
		}
		now := 10 * time.Second
		if name == "vanished" {
			if d := f.Handle(syn(testFlow(200), 0), now); d.Reason != LinkFull {
				t.Errorf("%s: %s instead of %s", name, d.Reason, LinkFull)
			}
			now += 2 * time.Second
		}
		if d := f.Handle(syn(testFlow(201), 0), now); d.Action != Forward {
			t.Errorf("%s: an upload is dropped because of %s", name, d.Reason)
		}
		if n := len(f.routeLoad(deskAddr).uploads.active); n > 7 {
			t.Errorf("%s: %d uploads are kept", name, n)
		}
	}
}

// Guards against sizes that add up the requests of two flows: the state of a removed flow is used again for the next one, so that two
// requests of 12,000 bytes looked like one of 24,000 and limited a route without large requests.
func TestRequestSampleEndsWithItsFlow(t *testing.T) {
	snapshot := testSnapshot(1)
	f := testForwarder(snapshot)
	token := snapshot.service().Local[0].Token
	send := func(flow Flow, now time.Duration) {
		for i := range 10 {
			packet := data(flow, token, uint32(i*1200), 900)
			packet.Length = 1200
			f.Handle(packet, now)
		}
	}
	for i := range 5 {
		now := time.Duration(i) * 10 * time.Second
		aborted, answered := testFlow(2*i), testFlow(2*i+1)
		send(aborted, now)
		reset := ack(aborted, token, 900)
		reset.Flags |= RST
		f.Handle(reset, now)
		send(answered, now+100*time.Millisecond)
		f.Handle(ack(answered, token, 1200), now+200*time.Millisecond)
	}
	if f.routeLoad(deskAddr).uploads.stats.Large() {
		t.Error("a route with requests of 12,000 bytes counts as one with large requests")
	}
}

// Guards against sizes that count retransmitted data again: clients on a busy link resend a whole window, and their small requests would
// be limited as large ones.
func TestRequestSizeIgnoresRetransmissions(t *testing.T) {
	snapshot := testSnapshot(1)
	f := testForwarder(snapshot)
	token := snapshot.service().Local[0].Token
	for i := range 5 {
		flow, now := testFlow(i), time.Duration(i)*10*time.Second
		for range 2 {
			for j := range 10 {
				packet := data(flow, token, uint32(j*1200), 900)
				packet.Length = 1200
				f.Handle(packet, now)
			}
			now += 200 * time.Millisecond
		}
		f.Handle(ack(flow, token, 1200), now)
	}
	if f.routeLoad(deskAddr).uploads.stats.Large() {
		t.Error("a route with requests of 12,000 bytes counts as one with large requests")
	}
}
