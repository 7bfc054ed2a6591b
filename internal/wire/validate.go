package wire

import (
	"net/netip"

	"github.com/mangoweir/mangoweir/core"
)

// checker checks the fields of a message and keeps the first error.
type checker struct{ err error }

func (c *checker) check(ok bool, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = newError(ErrInvalid, format, args...)
	}
}

// name checks the name of a VM or zone: 1 to 63 letters, digits, dots, hyphens and underscores.
func (c *checker) name(field, s string) {
	c.check(len(s) >= 1 && len(s) <= maxName, "%s has %d bytes", field, len(s))
	for i := 0; i < len(s) && c.err == nil; i++ {
		// The arguments of check are allocated on the heap, so it is called only for invalid bytes.
		if !isNameByte(s[i]) {
			c.check(false, "%s contains %q", field, s[i])
		}
	}
}

func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return b == '-' || b == '.' || b == '_'
}

func (c *checker) list(field string, n, limit int) {
	c.check(n <= limit, "%s has %d entries, limit %d", field, n, limit)
}

func (c *checker) addr(field string, a netip.AddrPort) {
	ip := a.Addr()
	ok := ip.IsValid() && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
	c.check(ok, "%s is %s", field, a)
}

func (c *checker) flow(k core.FlowKey) {
	c.addr("caller", k.ClientAddr())
	c.check(k.Service != 0, "service id is 0")
}

func (c *checker) target(id core.TargetID) {
	c.check(id != 0, "target id is 0")
}

func (c *checker) state(s core.VMState) {
	c.check(s <= core.VMLeaving, "VM state is %d", s)
}

func (c *checker) request(r *core.Request) {
	c.flow(r.Flow)
	c.check(r.Method <= core.MethodCancel, "method is %d", r.Method)
	c.check(r.Class < core.NumClasses, "class is %d", r.Class)
}

func (c *checker) record(r *core.RequestRecord) {
	c.flow(r.Flow)
	c.check(r.State <= core.RecordUnknown, "record state is %d", r.State)
}

// validate checks that a message has the properties that Decode guarantees.
func validate(msg core.Message) error {
	c := &checker{}
	switch m := msg.(type) {
	case *core.Heartbeat:
		c.heartbeat(m)
	case *core.ConfigPull, *core.StatusPull:
	case *core.ConfigPush:
		c.check(m.Generation != 0, "generation is 0")
	case *core.MembersPull:
		c.name("zone", string(m.Zone))
	case *core.MembersPush:
		c.membersPush(m)
	case *core.ForwardRequest:
		c.forwardRequest(m)
	case *core.FlowLearned:
		c.flow(m.Flow)
		c.target(m.Target)
	case *core.FlowQuery:
		c.flow(m.Flow)
	case *core.FlowReply:
		c.flow(m.Flow)
	case *core.RecordStarted:
		c.target(m.Target)
		c.flow(m.Flow)
	case *core.RecordAck:
		c.target(m.Target)
	case *core.HandoverBegin:
		c.target(m.Target)
		c.list("previous target sets", len(m.PreviousSets), core.MaxPreviousSets)
		for _, previous := range m.PreviousSets {
			c.list("previous targets", len(previous.Set.IDs), maxSetTargets)
		}
	case *core.HandoverChunk:
		c.handoverChunk(m)
	case *core.HandoverEnd:
		c.target(m.Target)
	case *core.HandoverAck:
		c.target(m.Target)
	case *core.RequestOutcome:
		c.target(m.Target)
		c.record(&m.Record)
	case *core.StatusPush:
		c.statusPush(m)
	default:
		c.check(false, "unsupported message type %T", msg)
	}
	return c.err
}

func (c *checker) heartbeat(m *core.Heartbeat) {
	c.name("zone", string(m.Zone))
	c.addr("address", m.Addr)
	c.state(m.State)
	c.list("epochs", len(m.Epochs), maxEpochs)
	for _, e := range m.Epochs {
		c.name("epoch zone", string(e.Zone))
	}
	c.list("holdings", len(m.OwnedTargets), maxOwnedTargets)
	for _, owned := range m.OwnedTargets {
		c.target(owned.Target)
	}
}

func (c *checker) membersPush(m *core.MembersPush) {
	c.name("zone", string(m.Zone))
	c.list("members", len(m.Members), maxMembers)
	for _, member := range m.Members {
		c.name("member", string(member.Name))
		c.addr("member address", member.Addr)
	}
}

func (c *checker) forwardRequest(m *core.ForwardRequest) {
	c.request(&m.Request)
	c.target(m.Target)
	c.list("trail", len(m.RemainingCandidates), maxCandidates)
	c.list("asked", len(m.AskedTargets), maxCandidates)
	for _, t := range m.RemainingCandidates {
		c.target(t)
	}
	for _, t := range m.AskedTargets {
		c.target(t)
	}
	c.name("ingress", string(m.Ingress))
}

func (c *checker) handoverChunk(m *core.HandoverChunk) {
	c.target(m.Target)
	c.list("flows", len(m.Flows), maxFlows)
	for i := range m.Flows {
		c.flow(m.Flows[i].Flow)
		c.target(m.Flows[i].Target)
		if feed := m.Flows[i].Feed; feed != nil {
			c.request(feed)
		}
	}
	c.list("records", len(m.Records), maxRecords)
	for i := range m.Records {
		c.record(&m.Records[i])
	}
}

func (c *checker) statusPush(m *core.StatusPush) {
	c.list("VMs", len(m.VMs), maxStatuses)
	for _, v := range m.VMs {
		c.name("VM", string(v.Name))
		c.name("zone", string(v.Zone))
		c.state(v.State)
	}
}
