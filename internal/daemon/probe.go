package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// probeInterval is the time between two reads of a held target's health and load endpoint.
const probeInterval = 2 * time.Second

// probes keeps the outstanding reads of health and load endpoints; a target has at most one.
type probes struct {
	mu   sync.Mutex
	next core.AttemptToken
	// waiting maps the token of an unanswered probe to its target.
	waiting map[core.AttemptToken]core.TargetID
}

// probe reads the endpoints of the targets that this VM holds until the context ends. Only holders
// probe, so that a target gets one probe per interval whatever the number of VMs.
func (p *ports) probe(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.probeHeld()
		}
	}
}

// probeHeld reports unanswered probes as failed and sends the next ones.
func (p *ports) probeHeld() {
	for _, id := range p.probes.expire() {
		p.post(core.TargetProbe{Target: id})
	}
	snap := p.snapshot.Load()
	if snap == nil {
		return
	}
	for id, t := range snap.Targets {
		if t.Owner != snap.Self || t.ZoneOut || t.Removed {
			continue
		}
		data, err := carrier.AppendProbe(nil, p.probes.add(id))
		if err == nil {
			_ = p.targets.Write(data, t.Target.Addr)
		}
	}
}

// fromProbe handles the answer to a probe.
func (p *ports) fromProbe(data []byte) {
	answer, err := carrier.DecodeProbeAnswer(data)
	if err != nil {
		p.report.badInput("probe", err)
		return
	}
	if id, ok := p.probes.remove(answer.Token); ok {
		p.post(core.TargetProbe{Target: id, OK: answer.OK, Load: answer.Load})
	}
}

// add registers a probe of a target and returns its token.
func (p *probes) add(id core.TargetID) core.AttemptToken {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[core.AttemptToken]core.TargetID{}
	}
	p.next++
	p.waiting[p.next] = id
	return p.next
}

// remove returns the target of a probe that was answered.
func (p *probes) remove(token core.AttemptToken) (core.TargetID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, ok := p.waiting[token]
	delete(p.waiting, token)
	return id, ok
}

// expire returns the targets whose probes were not answered.
func (p *probes) expire() []core.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []core.TargetID
	for _, id := range p.waiting {
		ids = append(ids, id)
	}
	clear(p.waiting)
	return ids
}
