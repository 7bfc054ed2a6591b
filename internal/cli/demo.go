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

// newDemo returns the command that runs a deployment in one process.
func (a *app) newDemo() *cobra.Command {
	var (
		seed     uint64
		asJSON   bool
		duration time.Duration
		logFile  string
		forward  bool
	)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a deployment with clients in one process",
		Long: `Run the Randstad deployment with entry VMs, targets, clients and the platform stand-in in one
process. Clients keep live feeds open, post bookings and upload photos while a zone is taken out of
service and back, an entry VM is replaced and a target becomes cold. All counts come from clients and
targets. The demo ends within a minute; its exit code is 1 when a guarantee was violated.

With --forward, processes of "mangoweir forward" run on a stand-in of the users' platform instead. Its store
comes back from an earlier copy while routes change and targets drain.`,
		Example: "  mangoweir demo --seed 7\n  mangoweir demo --json > summary.json\n  mangoweir demo --forward",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the workload")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the summary as JSON instead of tables")
	cmd.Flags().DurationVar(&duration, "duration", demo.DefaultDuration, "length of the run, at most a minute")
	cmd.Flags().StringVar(&logFile, "log", "", "write the entry VMs' logs to this file")
	cmd.Flags().BoolVar(&forward, "forward", false, "run the packet-forwarding path, with a store that is restored from a copy, for 20 s")
	cmd.MarkFlagsMutuallyExclusive("forward", "json")
	cmd.MarkFlagsMutuallyExclusive("forward", "duration")
	cmd.MarkFlagsMutuallyExclusive("forward", "log")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if forward {
			return runForwardDemo(cmd.Context(), seed, cmd.OutOrStdout())
		}
		log, closeLog, err := demoLogger(logFile)
		if err != nil {
			return err
		}
		defer closeLog()
		table := cmd.OutOrStdout()
		if asJSON {
			table = io.Discard
		}
		summary, err := runDemo(cmd.Context(), seed, duration, table, log)
		if err != nil {
			return err
		}
		if asJSON {
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			if err := enc.Encode(summary); err != nil {
				return errors.Trace(err)
			}
		} else if err := summary.WriteText(cmd.OutOrStdout()); err != nil {
			return errors.Trace(err)
		}
		return summary.Check()
	}
	return cmd
}

// demoLogger returns the logger of the entry VMs and a function that closes its file. Without a file
// name, logs are discarded.
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

// demoVMs holds the entry VMs of a demo and the client of their platform.
type demoVMs struct {
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
	cfg, err := contract.Decode(0, examples.RandstadManifest)
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
	vms := &demoVMs{client: client, url: url, log: log}
	deployment, err := demo.NewDeployment(demo.Options{Config: cfg, StartEntryVM: vms.start, SetZone: vms.setZone, Seed: seed})
	if err != nil {
		return demo.Summary{}, err
	}
	defer deployment.Close()
	text, err := replaceAddresses(examples.RandstadManifest, deployment.Config())
	if err != nil {
		return demo.Summary{}, err
	}
	server.Set(platform.ManifestKey, text)
	if err := deployment.StartEntryVMs(ctx); err != nil {
		return demo.Summary{}, err
	}
	if err := vms.waitReady(ctx); err != nil {
		return demo.Summary{}, err
	}
	if err := deployment.StartClients(ctx); err != nil {
		return demo.Summary{}, err
	}
	return deployment.Run(ctx, demo.DefaultScript(deployment.Config()), duration, table)
}

// start starts an entry VM on free loopback ports.
func (vms *demoVMs) start(_ context.Context, spec demo.EntryVMSpec) (demo.EntryVM, error) {
	freePort := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := daemon.Start(daemon.Options{Log: vms.log.With("vm", spec.Name), Settings: &settings.Settings{
		Name: spec.Name, Zone: spec.Zone,
		Listen:         settings.Listen{Fabric: freePort, Targets: freePort, Peers: freePort, HTTP: freePort},
		FabricReturn:   spec.FabricReturn,
		Platform:       settings.Platform{URL: vms.url, Timeout: jsonc.Duration(settings.DefaultTimeout), Rate: settings.DefaultRate},
		Seeds:          append([]settings.Seed(nil), vms.seeds...),
		TrafficThreads: settings.DefaultTrafficThreads,
	}})
	if err != nil {
		return nil, err
	}
	vms.daemons = append(vms.daemons, d)
	vms.seeds = append(vms.seeds, settings.Seed{Name: spec.Name, Zone: spec.Zone, Address: d.PeerAddr()})
	return d, nil
}

// waitReady waits until all entry VMs can serve.
func (vms *demoVMs) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range vms.daemons {
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
func (vms *demoVMs) setZone(ctx context.Context, zone core.ZoneName, state core.ZoneState) error {
	object, err := vms.client.Get(ctx, platform.ManifestKey)
	if err != nil {
		return err
	}
	name := contract.ZoneIn
	if state == core.ZoneOut {
		name = contract.ZoneOut
	}
	text, err := contract.SetZoneState(object.Value, string(zone), name)
	if err != nil {
		return err
	}
	_, err = vms.client.Put(ctx, platform.ManifestKey, text, object.Version)
	return err
}

// replaceAddresses returns the manifest in text with the addresses that services and targets have in cfg.
func replaceAddresses(text []byte, cfg *core.Config) ([]byte, error) {
	standardJSON, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var manifest map[string]any
	if err := json.Unmarshal(standardJSON, &manifest); err != nil {
		return nil, errors.Trace(err)
	}
	services, _ := manifest["services"].([]any)
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
	return json.MarshalIndent(manifest, "", "  ")
}
