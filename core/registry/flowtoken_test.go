package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// Guards against resets of a running target's flows by VMs that do not know the incarnation under which they were placed: the
// target had restarted under its id, and the VM that placed the flows had not received that yet.
func TestFlowsSurviveUnknownIncarnations(t *testing.T) {
	born := func(start int64, revision uint64) Record {
		return targetRecord("i-1", revision).with(func(t *Target) { t.StartMillis = start })
	}
	convey.Convey("Given a flow that was placed by the entry of an incarnation that has ended", t, func() {
		placing := testRegistry(born(1000, 3))
		snapshot := placing.Snapshot(0)
		placed := snapshot.Routes[endpoint(deskAddr)].Backends[0].Service.Local[0]
		forwards := func(r *Registry, at time.Duration) {
			f := forward.New(zoneA, 1)
			f.Install(rebuild(r, at))
			f.SetFresh(0, at+time.Minute)
			header := &forward.Header{
				Flow:  forward.Flow{Client: forward.Endpoint{IP: 1, Port: 4000}, Service: endpoint(deskAddr)},
				Flags: forward.ACK, Token: placed.FlowToken, Seq: 1, Length: 10,
			}
			// A token that is unknown for a second causes a reset.
			for _, wait := range []time.Duration{0, 2 * time.Second} {
				header.Seq++
				d := f.Handle(header, at+wait)
				convey.So(d.Reason, convey.ShouldEqual, forward.OnFlow)
				convey.So(d.Target.ID, convey.ShouldEqual, "i-1")
			}
		}
		const at = 10 * time.Second
		restarted := born(3000, 20)
		convey.Convey("a VM that starts from the store after one restart or two forwards its packets", func() {
			r := New(zoneA, testLimits)
			r.Apply(full(Targets, 20, restarted), at)
			r.Apply(full(Configs, 20, configRecord(1, 5, deskAddr)), at)
			r.Apply(full(ZonesOut, 20), at)
			forwards(r, at)
		})
		convey.Convey("a VM that starts from another VM forwards its packets", func() {
			placing.Apply(changed(Targets, 20, restarted), time.Second)
			r := New(zoneA, testLimits)
			for kind := range Kind(NumKinds) {
				r.Apply(placing.Export(kind), at)
			}
			forwards(r, at)
		})
		convey.Convey("a VM that has read an entry that was restored from before the restart forwards its packets", func() {
			r := testRegistry(restarted)
			r.Apply(full(Targets, 5, born(2000, 4)).inEra(2), at)
			forwards(r, at)
		})
		convey.Convey("a VM for which the entry has just expired and returned as the next incarnation forwards its packets", func() {
			placing.Apply(changed(Targets, 12, removed("i-1", 12)), time.Second)
			placing.Apply(changed(Targets, 20, restarted), 2*time.Second)
			forwards(placing, at)
		})
	})
}

// Guards against an upgrade that resets flows: VMs of earlier releases know only the tokens of incarnations.
func TestTokensOfEarlierReleases(t *testing.T) {
	convey.Convey("Given a target with its present and a previous incarnation", t, func() {
		limits := testLimits
		r := testRegistry(targetRecord("i-1", 3))
		r.Apply(changed(Targets, 20, targetRecord("i-1", 20).with(func(t *Target) { t.StartMillis = 2000 })), time.Second)
		convey.Convey("flows under either incarnation's token go on", func() {
			snapshot := rebuild(r, time.Second)
			present := snapshot.Targets[forward.NewToken("i-1", 2000)]
			convey.So(present.FlowToken, convey.ShouldEqual, forward.NewTargetToken("i-1"))
			convey.So(snapshot.Targets[forward.NewToken("i-1", 1000)], convey.ShouldEqual, present)
		})
		convey.Convey("a VM can write the tokens that earlier releases know", func() {
			limits.WriteIncarnationTokens = true
			r.SetLimits(limits)
			snapshot := r.Snapshot(time.Second)
			present := snapshot.Targets[forward.NewTargetToken("i-1")]
			convey.So(present.FlowToken, convey.ShouldEqual, forward.NewToken("i-1", 2000))
		})
	})
}

// Guards against packets of a running target's flows at a target that starts and has the same token.
func TestTargetsWithOneToken(t *testing.T) {
	ids := map[forward.Token]string{}
	var first, second string
	for i := uint64(1); second == ""; i++ {
		id := fmt.Sprintf("i-%x", i)
		token := forward.NewTargetToken(id)
		first, second = ids[token], ""
		if first != "" {
			second = id
		}
		ids[token] = id
	}
	convey.Convey("Given targets "+first+" and "+second+" with one token, the second of which runs", t, func() {
		// The addresses of the helper's targets differ only by the last 8 bits of the number.
		start := func(id string, revision uint64, start int64) Record {
			return targetRecord(id, revision).with(func(t *Target) { t.StartMillis = start })
		}
		r := testRegistry(start(second, 3, 1000))
		token := forward.NewTargetToken(first)
		convey.Convey("the other one gets no flows when it starts, until the first one is gone", func() {
			r.Apply(changed(Targets, 11, start(first, 11, 2000)), time.Second)
			snapshot := r.Snapshot(time.Second)
			convey.So(snapshot.Targets[token].ID, convey.ShouldEqual, second)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{second})
			r.Apply(changed(Targets, 12, removed(second, 12)), 2*time.Second)
			snapshot = r.Snapshot(2*time.Second + entryReturnTime)
			convey.So(snapshot.Targets[token].ID, convey.ShouldEqual, first)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{first})
		})
	})
}
