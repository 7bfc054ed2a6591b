package forwarder

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

const (
	// stopMargin is the time before the end of the grace period at which the process ends by itself.
	stopMargin = 700 * time.Millisecond
	// minStopTime is the minimum time for which a stopping process keeps forwarding: routers remove a VM from
	// rotation after two failed probes, half a second apart.
	minStopTime = 1600 * time.Millisecond
	// idleStopTime is the time without packets after which a stopping process ends.
	idleStopTime = 700 * time.Millisecond
	// logTimeout is the maximum wait for the last log lines to be written.
	logTimeout = 300 * time.Millisecond
	// gcPercent is below Go's default of 100: it saves memory at the cost of processor time, of which little
	// is needed because the process allocates little once it runs.
	gcPercent = 50
	// bitsPerMegabit converts the link capacity of the settings.
	bitsPerMegabit = 1e6
)

// ErrSockets reports that a socket cannot be opened at an address of the settings.
const ErrSockets = errors.ConstError("cannot open a socket: free the address or change it in the settings")

// process is one running forwarder.
type process struct {
	*control
	conn   *net.UDPConn
	server *feed.Server
	http   *http.Server
	events chan feed.Event
	// failures are the failures of targets that the traffic thread observed.
	failures chan []forward.TargetFailures
	// loadReports are the loads of targets that the traffic thread observed.
	loadReports chan []targetload.Report
}

// Run forwards packets until SIGTERM, SIGINT or the end of ctx. Logs go to out. Errors: those of
// p.LoadSettings and p.NewStore, and ErrSockets.
func Run(ctx context.Context, platform Platform, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	w := telemetry.NewBoundedWriter(out)
	defer w.Close(logTimeout)
	root, err := telemetry.NewLogger(w, telemetry.LogSettings{Format: telemetry.LogJSON})
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		root.Error("start: cannot load the settings", "error", err)
		return err
	}
	log := telemetry.ComponentLogger(root, "forwarder")
	log.Info("starting", "vm", string(settings.VM), "zone", string(settings.Zone), "packets", settings.PacketAddr.String(),
		"http", settings.HTTPAddr.String(), "feed", settings.FeedAddr.String(), "store", settings.StoreAddr)
	proc, traffic, err := newProcess(platform, settings, root)
	if err != nil {
		log.Error("cannot start", "error", err)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trafficDone := make(chan error, 1)
	go func() { trafficDone <- traffic.run() }()
	go proc.source.Run(ctx)
	defer proc.watcher.setTargets(nil)
	cause := proc.loop(ctx, signals)
	proc.close()
	err = <-trafficDone
	log.Info("stopped", "cause", cause, "error", err)
	return err
}

// newProcess opens the sockets and creates the parts of the process. Errors: ErrSockets, and those of
// p.NewStore.
func newProcess(platform Platform, settings *Settings, root *slog.Logger) (*process, *traffic, error) {
	shared := newSharedState()
	shared.lastTick.Store(int64(shared.clock.now()))
	metrics := telemetry.NewMetrics()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.PacketAddr))
	if err != nil {
		return nil, nil, socketError(err)
	}
	log := telemetry.ComponentLogger(root, "control")
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		log.Warn("cannot set the receive buffer", "bytes", receiveBuffer, "error", err)
	}
	server, err := feed.Listen(settings.FeedAddr.String(), telemetry.ComponentLogger(root, "feed"))
	if err != nil {
		return nil, nil, socketError(err)
	}
	ctrl := &control{
		shared: shared, platform: platform, settings: settings, registry: registry.New(settings.Zone, settings.Limits), watcher: newWatcher(),
		outliers: registry.NewOutliers(), membership: registry.NewMembership(forward.NewVMID(settings.VM)), lastContact: shared.clock.now(), log: log,
	}
	ctrl.metrics = newControlMetrics(metrics, shared, func() int { return int(ctrl.subscriberCount.Load()) })
	store, err := platform.NewStore(settings.StoreAddr, ctrl.metrics.storeCall)
	if err != nil {
		return nil, nil, err
	}
	events := make(chan feed.Event, 64)
	seeds := make([]string, len(settings.Seeds))
	for i, seed := range settings.Seeds {
		seeds[i] = seed.String()
	}
	ctrl.source = feed.NewSource(feed.Options{
		VM: settings.VM, Zone: settings.Zone, Address: server.Addr(), Seeds: seeds, CPUShare: settings.CPUShare, Store: store,
		Log: telemetry.ComponentLogger(root, "feed"), Now: shared.clock.now, Events: events,
	})
	failures := make(chan []forward.TargetFailures, 16)
	loadReports := make(chan []targetload.Report, 16)
	forwarder := forward.New(settings.Zone, rand.Uint64())
	forwarder.SetLinkCapacity(settings.LinkMbps * bitsPerMegabit)
	proc := &process{control: ctrl, conn: conn, server: server, events: events, failures: failures, loadReports: loadReports}
	if err := proc.serveHTTP(metrics, settings.HTTPAddr.String()); err != nil {
		return nil, nil, err
	}
	return proc, &traffic{
		prober: newProber(func() { wakeTraffic(conn, log) }), failures: failures, loadReports: loadReports,
		shared: shared, format: platform.PacketFormat, conn: conn, forwarder: forwarder,
		metrics: newTrafficMetrics(metrics.Set()), log: newFlowLog(telemetry.ComponentLogger(root, "flow")),
		clientPort: settings.PacketAddr.Port(), startHold: maxStartHold,
	}, nil
}

// serveHTTP starts to serve readiness and metrics.
func (p *process) serveHTTP(m *telemetry.Metrics, address string) error {
	mux := http.NewServeMux()
	mux.Handle(p.platform.ReadinessPath, p.platform.ReadinessHandler(p.shared.ready))
	mux.Handle("/", m.Handler(func() error {
		if !p.shared.ready() {
			return errors.New("no configuration yet, isolated, without a reachable target, or stopping")
		}
		return nil
	}))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return socketError(err)
	}
	p.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := p.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("readiness is no longer served", "error", err)
		}
	}()
	return nil
}

// loop runs the control thread and returns the cause of its end.
func (p *process) loop(ctx context.Context, signals <-chan os.Signal) string {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var stopAt time.Duration
	var cause string
	for {
		select {
		case e := <-p.events:
			p.handleEvent(e)
		case result := <-p.watcher.results:
			p.handleConnection(result)
		case target := <-p.watcher.unreachable:
			p.handleUnreachable(target)
		case failures := <-p.failures:
			p.handleFailures(failures)
		case failures := <-p.server.Failures():
			p.handleFailures(failures)
		case reports := <-p.loadReports:
			p.handleLoadReports(feed.LoadReports{Zone: p.settings.Zone, Reports: reports})
		case reports := <-p.server.Loads():
			p.handleLoadReports(reports)
		case sub := <-p.server.Subscriptions():
			p.addSubscriber(sub)
		case <-p.server.Acknowledged():
			p.sendDueConfigs()
		case <-timer.C:
			p.handleTimer()
		case received := <-signals:
			if received == syscall.SIGHUP {
				p.reload(received.String())
				break
			}
			cause = received.String()
			if stopAt > 0 {
				return cause + " again"
			}
			stopAt = p.stop(cause)
		case <-ctx.Done():
			return ctx.Err().Error()
		}
		if stopAt > 0 && p.mayEnd(stopAt) {
			return cause
		}
		timer.Reset(p.untilTimer())
	}
}

// stop begins a planned stop and returns the time by which the process must end. The process keeps
// forwarding, since routers send packets until their probes have failed.
func (p *process) stop(cause string) time.Duration {
	p.shared.stopping.Store(true)
	p.source.SetStopping()
	p.server.Close()
	for _, sub := range p.subscribers {
		sub.Close()
	}
	now := p.shared.clock.now()
	grace := max(p.settings.Grace-stopMargin, minStopTime)
	p.log.Info("stopping", "cause", cause, "grace_ms", grace.Milliseconds(), "subscribers", len(p.subscribers))
	p.stopBegan = now
	return now + grace
}

// mayEnd reports whether a stopping process may end: its grace period is over, or packets no longer arrive.
func (p *process) mayEnd(stopAt time.Duration) bool {
	now := p.shared.clock.now()
	last := time.Duration(p.shared.lastPacket.Load())
	return now >= stopAt || now-p.stopBegan >= minStopTime && now-last >= idleStopTime
}

// close closes the sockets.
func (p *process) close() {
	for name, err := range map[string]error{"packets": p.conn.Close(), "http": p.http.Close()} {
		if err != nil {
			p.log.Warn("cannot close a socket", "socket", name, "error", err)
		}
	}
}

func socketError(err error) error {
	return errors.WithType(errors.Annotate(err, string(ErrSockets)), ErrSockets)
}
