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
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

const (
	// stopMargin is the time before the end of the grace in which the process ends by itself.
	stopMargin = 700 * time.Millisecond
	// minStop is the least time for which a stopping process forwards: routers take a VM out after two
	// probes, half a second apart.
	minStop = 1600 * time.Millisecond
	// quietStop is the time without packets after which a stopping process ends.
	quietStop = 700 * time.Millisecond
	// logTimeout bounds the wait for the last log lines.
	logTimeout = 300 * time.Millisecond
	// gcPercent trades processor time for memory: the process allocates little once it runs.
	gcPercent = 50
)

// ErrSockets says that an address of the settings cannot be opened.
const ErrSockets = errors.ConstError("cannot open a socket: free the address or change it in the settings")

// process is one running forwarder.
type process struct {
	*control
	conn   *net.UDPConn
	server *feed.Server
	http   *http.Server
	events chan feed.Event
}

// Run forwards packets until SIGTERM, SIGINT or the end of ctx. Logs go to out. Errors: those of
// p.Load, and ErrSockets.
func Run(ctx context.Context, p Platform, out io.Writer) error {
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
	st, err := p.LoadSettings()
	if err != nil {
		root.Error("start: cannot load the settings", "error", err)
		return err
	}
	log := telemetry.ComponentLogger(root, "forwarder")
	log.Info("starting", "vm", string(st.VM), "zone", string(st.Zone), "packets", st.PacketAddr.String(),
		"http", st.HTTPAddr.String(), "feed", st.FeedAddr.String(), "store", st.StoreAddr)
	pr, traffic, err := open(p, st, root)
	if err != nil {
		log.Error("cannot start", "error", err)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trafficDone := make(chan error, 1)
	go func() { trafficDone <- traffic.run() }()
	go pr.source.Run(ctx)
	defer pr.watcher.set(nil)
	cause := pr.loop(ctx, signals)
	pr.close()
	err = <-trafficDone
	log.Info("stopped", "cause", cause, "error", err)
	return err
}

// open opens the sockets and builds the parts of the process.
func open(p Platform, st *Settings, root *slog.Logger) (*process, *traffic, error) {
	sh := &shared{clock: newClock()}
	m := telemetry.NewMetrics()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(st.PacketAddr))
	if err != nil {
		return nil, nil, socketError(err)
	}
	log := telemetry.ComponentLogger(root, "control")
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		log.Warn("cannot set the receive buffer", "bytes", receiveBuffer, "error", err)
	}
	server, err := feed.Listen(st.FeedAddr.String(), telemetry.ComponentLogger(root, "feed"))
	if err != nil {
		return nil, nil, socketError(err)
	}
	c := &control{
		shared: sh, platform: p, settings: st, registry: registry.New(st.Zone, st.Limits), watcher: newWatcher(),
		heard: sh.clock.now(), log: log,
	}
	c.metrics = newControlMetrics(m, sh, func() int { return int(c.subscriberCount.Load()) })
	store, err := p.NewStore(st.StoreAddr, c.metrics.storeCall)
	if err != nil {
		return nil, nil, err
	}
	events := make(chan feed.Event, 64)
	seeds := make([]string, len(st.Seeds))
	for i, seed := range st.Seeds {
		seeds[i] = seed.String()
	}
	c.source = feed.NewSource(feed.Options{
		VM: st.VM, Zone: st.Zone, Address: server.Addr(), Seeds: seeds, CPUShare: st.CPUShare, Store: store,
		Log: telemetry.ComponentLogger(root, "feed"), Now: sh.clock.now, Events: events,
	})
	pr := &process{control: c, conn: conn, server: server, events: events}
	if err := pr.serveHTTP(m, st.HTTPAddr.String()); err != nil {
		return nil, nil, err
	}
	return pr, &traffic{
		probes: newProber(func() { wake(conn, log) }),
		shared: sh, packets: p.PacketFormat, conn: conn, core: forward.New(st.Zone, rand.Uint64()),
		metrics: newTrafficMetrics(m.Set()), log: newFlowLog(telemetry.ComponentLogger(root, "flow")),
		clientPort: st.PacketAddr.Port(),
	}, nil
}

// serveHTTP serves readiness and metrics.
func (p *process) serveHTTP(m *telemetry.Metrics, address string) error {
	mux := http.NewServeMux()
	mux.Handle(p.platform.ReadinessPath, p.platform.ReadinessHandler(p.shared.ready))
	mux.Handle("/", m.Handler(func() error {
		if !p.shared.ready() {
			return errors.New("no configuration yet, cut off, or stopping")
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

// loop is the control thread. It returns why it ended.
func (p *process) loop(ctx context.Context, signals <-chan os.Signal) string {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var stopAt time.Duration
	var cause string
	for {
		select {
		case e := <-p.events:
			p.event(e)
		case s := <-p.watcher.results:
			p.connected(s)
		case sub := <-p.server.Subscriptions():
			p.join(sub)
		case <-timer.C:
			p.tick()
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload(s.String())
				break
			}
			cause = s.String()
			if stopAt > 0 {
				return cause + " again"
			}
			stopAt = p.stop(cause)
		case <-ctx.Done():
			return ctx.Err().Error()
		}
		if stopAt > 0 && p.stopped(stopAt) {
			return cause
		}
		timer.Reset(p.nextTick())
	}
}

// stop begins a planned stop and returns the time by which the process must end. It keeps forwarding,
// since routers send packets until they have noticed.
func (p *process) stop(cause string) time.Duration {
	p.shared.stopping.Store(true)
	p.server.Close()
	for _, sub := range p.subscribers {
		sub.Close()
	}
	now := p.shared.clock.now()
	grace := max(p.settings.Grace-stopMargin, minStop)
	p.log.Info("stopping", "cause", cause, "grace_ms", grace.Milliseconds(), "subscribers", len(p.subscribers))
	p.stopBegan = now
	return now + grace
}

// stopped reports whether a stopping process may end: its grace is over, or packets no longer come.
func (p *process) stopped(stopAt time.Duration) bool {
	now := p.shared.clock.now()
	last := time.Duration(p.shared.lastPacket.Load())
	return now >= stopAt || now-p.stopBegan >= minStop && now-last >= quietStop
}

// close releases the sockets.
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
