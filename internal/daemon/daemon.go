package daemon

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/link"
	"github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/settings"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// Options configures a Daemon. Settings and Log are required.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	// Credentials enable mutual TLS on peer links; nil means plain TCP.
	Credentials link.Credentials
}

// Reasons why a VM is not ready.
const (
	errNoConfig = errors.ConstError("waiting for a configuration; check the platform and apply a manifest")
	errNoOwner  = errors.ConstError("waiting for owners of targets; check the VMs of the targets' zones")
)

// Daemon is a running entry VM.
type Daemon struct {
	opts     Options
	runtime  *runtime
	ports    *ports
	platform *platformAdapter
	links    *link.Manager
	reporter *reporter
	http     *telemetry.Server
	status   statusWaiters
	log      *slog.Logger
	// incarnation identifies this process to peers, in control and in attempt tokens.
	incarnation core.Incarnation
	metrics     *telemetry.Metrics
	snapshot    atomic.Pointer[core.Snapshot]
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	// linksReady is closed once the core can handle messages and link changes. Peers may connect before
	// Start returns, so their messages wait for it.
	linksReady chan struct{}
	drained    chan struct{}
	drainOnce  sync.Once
	closeOnce  sync.Once
}

// Start opens the VM's ports and starts its goroutines. The VM serves clients as soon as it has a
// configuration and peers.
func Start(opts Options) (*Daemon, error) {
	vmSettings := opts.Settings
	d := &Daemon{opts: opts, incarnation: newIncarnation(time.Now()), log: telemetry.ComponentLogger(opts.Log, "daemon"), metrics: telemetry.NewMetrics(), drained: make(chan struct{}),
		linksReady: make(chan struct{})}
	d.reporter = newReporter(d.metrics.Set(), opts.Log)
	hops, err := newHopTracer(vmSettings, telemetry.ComponentLogger(opts.Log, "traces"))
	if err != nil {
		return nil, err
	}
	if d.ports, err = newPorts(vmSettings.Listen.Fabric, vmSettings.Listen.Targets, vmSettings.FabricReturn); err != nil {
		hops.close()
		return nil, errors.Annotate(err, "open the ports for fabric and targets; check listen in the settings")
	}
	d.ports.hops = hops
	client, err := platform.NewClient(vmSettings.Platform.URL, platform.Options{
		Timeout: time.Duration(vmSettings.Platform.Timeout), Rate: vmSettings.Platform.Rate,
	})
	if err != nil {
		hops.close()
		d.ports.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if d.links, err = link.Start(link.Config{
		Name: vmSettings.Name, Zone: vmSettings.Zone, Incarnation: d.incarnation, Listen: vmSettings.Listen.Peers,
		Credentials: opts.Credentials, OnMessage: d.handlePeerMessage, OnLink: d.handleLinkEvent,
		Log: telemetry.ComponentLogger(opts.Log, "link"),
	}); err != nil {
		cancel()
		hops.close()
		d.ports.close()
		return nil, err
	}
	d.start(ctx, client)
	if d.http, err = startHTTP(vmSettings.Listen.HTTP, d, client); err != nil {
		d.Kill()
		return nil, err
	}
	d.log.Info("entry VM started", "vm", vmSettings.Name, "zone", vmSettings.Zone,
		"fabric", d.FabricAddr(), "peers", d.links.Addr(), "http", d.HTTPAddr())
	return d, nil
}

// start connects the core with its adapters and starts the goroutines.
func (d *Daemon) start(ctx context.Context, client *platform.Client) {
	vmSettings := d.opts.Settings
	d.runtime = newRuntime(control.Options{
		Self: vmSettings.Name, Zone: vmSettings.Zone, Addr: d.announcedAddr(), Incarnation: d.incarnation,
		Seeds: seedVMs(vmSettings), Decode: contract.Decode, RandomSeed: jitterSeed(vmSettings.Name),
	}, max(vmSettings.TrafficThreads, 1), d)
	d.runtime.publishedSnapshot = &d.snapshot
	d.ports.snapshot, d.ports.post = &d.snapshot, d.runtime.post
	d.ports.reporter, d.ports.attemptSource = d.reporter, core.NewAttemptSource(vmSettings.Name, d.incarnation)
	d.platform = &platformAdapter{client: client, zone: vmSettings.Zone, runtime: d.runtime,
		snapshot: d.snapshot.Load, ctx: ctx}
	close(d.linksReady)
	d.ports.serve(ctx, &d.wg)
	d.wg.Go(func() { d.ports.runProbes(ctx) })
	d.wg.Go(func() { d.runtime.tick(ctx) })
}

// newIncarnation returns the incarnation of a process that starts now: the tenths of a second since the
// start of 2026. It grows with each process of a VM and does not overflow for 13 years.
func newIncarnation(now time.Time) core.Incarnation {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return core.Incarnation(now.Sub(base) / (100 * time.Millisecond))
}

// announcedAddr returns the address at which peers reach this VM: listen.peersAnnounced of the settings,
// or else the address of the peer port.
func (d *Daemon) announcedAddr() netip.AddrPort {
	if a := d.opts.Settings.Listen.PeersAnnounced; a.IsValid() {
		return a
	}
	return d.links.Addr()
}

// jitterSeed derives the random seed of a VM from its name, so that VMs have different jitter.
func jitterSeed(name core.VMName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// seedVMs returns the seeds of the settings without this VM.
func seedVMs(vmSettings *settings.Settings) []core.ListedVM {
	var list []core.ListedVM
	for _, s := range vmSettings.Seeds {
		if s.Name != vmSettings.Name {
			list = append(list, core.ListedVM{Name: s.Name, Zone: s.Zone, Addr: s.Address})
		}
	}
	return list
}

// handlePeerMessage passes a peer's message to the core.
func (d *Daemon) handlePeerMessage(m core.PeerMessage) {
	<-d.linksReady
	if f, ok := m.Msg.(*core.ForwardRequest); ok {
		d.ports.hops.startForward(f)
	}
	if !d.runtime.post(m) {
		d.reporter.dropped("mailbox_full")
	}
}

// handleLinkEvent passes the change of a link to the core.
func (d *Daemon) handleLinkEvent(e core.LinkEvent) {
	<-d.linksReady
	d.runtime.post(e)
}

// perform carries out an action of the core. It does not block.
func (d *Daemon) perform(a core.Action) {
	switch a := a.(type) {
	case core.SendTarget:
		d.ports.sendTarget(a)
	case core.AnswerClient:
		d.ports.answerClient(a)
	case core.RefuseClient:
		d.ports.refuseClient(a)
	case core.RejectNotification:
		d.ports.rejectNotification(a)
	case core.SendPeer:
		d.sendPeer(a)
	case core.Dial:
		d.links.Dial(a.Peer, a.Addr)
	case core.CloseLink:
		d.links.CloseLink(a.Peer)
	case core.Event:
		d.reporter.event(a, d.ports.targetName(a.Target))
	case core.Drained:
		d.drainOnce.Do(func() { close(d.drained) })
	default:
		d.platform.perform(a)
	}
}

// sendPeer sends a message to a peer. A StatusPush without a receiver is the answer to a status call of
// an operator.
func (d *Daemon) sendPeer(a core.SendPeer) {
	if push, ok := a.Msg.(*core.StatusPush); ok && a.To == "" {
		d.status.deliver(push.VMs)
		return
	}
	if f, ok := a.Msg.(*core.ForwardRequest); ok {
		d.ports.hops.requestForwarded(f)
	}
	d.links.Send(a.To, a.Msg)
}

// Name returns the VM's name.
func (d *Daemon) Name() string { return string(d.opts.Settings.Name) }

// FabricAddr returns the address to which the fabric sends packets.
func (d *Daemon) FabricAddr() netip.AddrPort { return d.ports.fabric.Addr() }

// PeerAddr returns the address of the peer port.
func (d *Daemon) PeerAddr() netip.AddrPort { return d.links.Addr() }

// HTTPAddr returns the address of the HTTP server for metrics, health and status.
func (d *Daemon) HTTPAddr() netip.AddrPort { return unmapped(d.http.Addr()) }

// Ready reports whether the VM has a configuration and an owner for each target in service.
func (d *Daemon) Ready() bool { return d.readinessError() == nil }

// readinessError returns why the VM cannot serve yet, or nil.
func (d *Daemon) readinessError() error {
	snap := d.snapshot.Load()
	if snap == nil || snap.Config == nil {
		return errNoConfig
	}
	for _, t := range snap.Targets {
		if t.Owner == "" && !t.Removed && !t.ZoneOut {
			return errNoOwner
		}
	}
	return nil
}

// Stop shuts the VM down gracefully: the VM hands over its targets, finishes the requests in flight and
// ends. When ctx ends first, Stop ends the VM at once and returns the context's error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("planned stop started")
	d.runtime.post(core.Stop{})
	var err error
	select {
	case <-d.drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	d.Kill()
	if err != nil {
		d.log.Warn("planned stop cut short; requests in flight may have been lost", "error", err)
	}
	return err
}

// Kill ends the VM at once, without a handover. Further calls do nothing.
func (d *Daemon) Kill() {
	d.closeOnce.Do(func() {
		d.cancel()
		if d.http != nil {
			closeHTTP(d.http)
		}
		d.ports.close()
		d.links.Close()
		d.runtime.close()
		d.platform.wg.Wait()
		d.wg.Wait()
		d.ports.hops.close()
		d.log.Info("entry VM ended", d.reporter.refusalCounts()...)
	})
}
