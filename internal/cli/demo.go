package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/examples"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/daemon"
	"github.com/mangoweir/mangoweir/internal/demo"
	"github.com/mangoweir/mangoweir/internal/jsonc"
	"github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/settings"
	standin "github.com/mangoweir/mangoweir/internal/standin/platform"
)

// readyTimeout bounds the time until all entry VMs of the demo can serve.
const readyTimeout = 10 * time.Second

// newDemo returns the command that runs all parts in one process.
func (a *app) newDemo() *cobra.Command {
	var (
		seed     uint64
		asJSON   bool
		duration time.Duration
		logs     string
	)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a deployment with callers in one process",
		Long: `Run the Randstad deployment with entry VMs, targets, callers and the platform stand-in in one
process. Callers hold live feeds, post bookings and upload photos while a zone leaves and returns, an
entry VM is replaced and a target turns cold. All counts are taken at callers and targets. The demo
ends by itself within a minute; its exit code is 1 when a promise was broken.`,
		Example: "  mangoweir demo --seed 7\n  mangoweir demo --json > summary.json",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the workload")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the summary as JSON and no table")
	cmd.Flags().DurationVar(&duration, "duration", demo.DefaultDuration, "length of the run, at most a minute")
	cmd.Flags().StringVar(&logs, "log", "", "write the entry VMs' logs to this file")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		log, closeLog, err := demoLogger(logs)
		if err != nil {
			return err
		}
		defer closeLog()
		table := cmd.OutOrStdout()
		if asJSON {
			table = io.Discard
		}
		s, err := runDemo(cmd.Context(), seed, duration, table, log)
		if err != nil {
			return err
		}
		if asJSON {
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			if err := enc.Encode(s); err != nil {
				return errors.Trace(err)
			}
		} else if err := s.WriteText(cmd.OutOrStdout()); err != nil {
			return errors.Trace(err)
		}
		return s.Check()
	}
	return cmd
}

// demoLogger returns the logger of the entry VMs, which write nothing unless a file is named.
func demoLogger(file string) (*slog.Logger, func(), error) {
	if file == "" {
		return slog.New(slog.DiscardHandler), func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, errors.Annotate(err, "create the log file; name a file that can be written")
	}
	return slog.New(slog.NewTextHandler(f, nil)), func() { _ = f.Close() }, nil
}

// demoSite is the platform and the entry VMs of a demo.
type demoSite struct {
	client  *platform.Client
	url     string
	log     *slog.Logger
	daemons []*daemon.Daemon
	seeds   []settings.Seed
}

// runDemo runs the default script and returns its summary.
func runDemo(ctx context.Context, seed uint64, duration time.Duration, table io.Writer, log *slog.Logger) (demo.Summary, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	cfg, err := contract.Decode(0, examples.Randstad)
	if err != nil {
		return demo.Summary{}, err
	}
	server := standin.New()
	url, err := server.Start("127.0.0.1:0")
	if err != nil {
		return demo.Summary{}, errors.Trace(err)
	}
	defer server.Close()
	client, err := platform.NewClient(url, platform.Options{})
	if err != nil {
		return demo.Summary{}, err
	}
	site := &demoSite{client: client, url: url, log: log}
	w, err := demo.NewDeployment(demo.Options{Config: cfg, StartEntryVM: site.start, SetZone: site.setZone, Seed: seed})
	if err != nil {
		return demo.Summary{}, err
	}
	defer w.Close()
	text, err := readdress(examples.Randstad, w.Config())
	if err != nil {
		return demo.Summary{}, err
	}
	server.Set(platform.ManifestKey, text)
	if err := w.StartEntryVMs(ctx); err != nil {
		return demo.Summary{}, err
	}
	if err := site.waitReady(ctx); err != nil {
		return demo.Summary{}, err
	}
	if err := w.StartClients(ctx); err != nil {
		return demo.Summary{}, err
	}
	return w.Run(ctx, demo.DefaultScript(w.Config()), duration, table)
}

// start starts an entry VM on free loopback ports.
func (s *demoSite) start(_ context.Context, spec demo.EntryVMSpec) (demo.EntryVM, error) {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := daemon.Start(daemon.Options{Log: s.log.With("vm", spec.Name), Settings: &settings.Settings{
		Name: spec.Name, Zone: spec.Zone,
		Listen:         settings.Listen{Fabric: free, Targets: free, Peers: free, HTTP: free},
		FabricReturn:   spec.FabricReturn,
		Platform:       settings.Platform{URL: s.url, Timeout: jsonc.Duration(settings.DefaultTimeout), Rate: settings.DefaultRate},
		Seeds:          append([]settings.Seed(nil), s.seeds...),
		TrafficThreads: settings.DefaultTrafficThreads,
	}})
	if err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	s.seeds = append(s.seeds, settings.Seed{Name: spec.Name, Zone: spec.Zone, Address: d.PeerAddr()})
	return d, nil
}

// waitReady waits until all entry VMs can serve.
func (s *demoSite) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range s.daemons {
		for !d.Ready() {
			select {
			case <-ctx.Done():
				return errors.Errorf("entry VM %s is not ready; run again with --log FILE to see why", d.Name())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// setZone changes a zone's state in the manifest on the platform.
func (s *demoSite) setZone(ctx context.Context, zone core.ZoneName, state core.ZoneState) error {
	o, err := s.client.Get(ctx, platform.ManifestKey)
	if err != nil {
		return err
	}
	name := contract.StateIn
	if state == core.ZoneOut {
		name = contract.StateOut
	}
	text, err := contract.SetZoneState(o.Value, string(zone), name)
	if err != nil {
		return err
	}
	_, err = s.client.Put(ctx, platform.ManifestKey, text, o.Version)
	return err
}

// readdress returns a manifest with the addresses of services and targets in a configuration.
func readdress(text []byte, cfg *core.Config) ([]byte, error) {
	plain, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var m map[string]any
	if err := json.Unmarshal(plain, &m); err != nil {
		return nil, errors.Trace(err)
	}
	services, _ := m["services"].([]any)
	for i, v := range services {
		s, _ := v.(map[string]any)
		targets, _ := s["targets"].([]any)
		if i >= len(cfg.Services) || len(targets) != len(cfg.Services[i].Targets) {
			return nil, fmt.Errorf("manifest and configuration differ in service %d", i+1)
		}
		s["address"] = cfg.Services[i].Addr.String()
		for j, v := range targets {
			t, _ := v.(map[string]any)
			t["address"] = cfg.Services[i].Targets[j].Addr.String()
		}
	}
	return json.MarshalIndent(m, "", "  ")
}
