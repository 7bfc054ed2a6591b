package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// probeInterval is the time between two probes of an owned target's health and load endpoint.
const probeInterval = 2 * time.Second

// probes keeps the unanswered probes of health and load endpoints; a target has at most one.
type probes struct {
	mu   sync.Mutex
	next core.AttemptToken
	// unanswered maps the token of an unanswered probe to its target.
	unanswered map[core.AttemptToken]core.TargetID
}

// runProbes probes the targets that this VM owns until the context ends. Only owners send probes, so that
// a target receives one probe per interval whatever the number of VMs.
func (p *ports) runProbes(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.probeOwnedTargets()
		}
	}
}

// probeOwnedTargets posts the unanswered probes of the last interval as failed and sends the next ones.
func (p *ports) probeOwnedTargets() {
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

// handleProbeAnswer handles the answer to a probe.
func (p *ports) handleProbeAnswer(data []byte) {
	answer, err := carrier.DecodeProbeAnswer(data)
	if err != nil {
		p.reporter.badPacket("probe", err)
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
	if p.unanswered == nil {
		p.unanswered = map[core.AttemptToken]core.TargetID{}
	}
	p.next++
	p.unanswered[p.next] = id
	return p.next
}

// remove removes the probe with a token and returns its target.
func (p *probes) remove(token core.AttemptToken) (core.TargetID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, ok := p.unanswered[token]
	delete(p.unanswered, token)
	return id, ok
}

// expire removes all unanswered probes and returns their targets.
func (p *probes) expire() []core.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []core.TargetID
	for _, id := range p.unanswered {
		ids = append(ids, id)
	}
	clear(p.unanswered)
	return ids
}
