package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/daemon"
	"github.com/mangoweir/mangoweir/internal/keys"
	"github.com/mangoweir/mangoweir/internal/settings"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// stopTimeout bounds a planned stop. Flows are handed over in a second; what remains is requests in
// flight, which end at their deadlines.
const stopTimeout = 45 * time.Second

// newServe returns the command that runs an entry VM.
func (a *app) newServe() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run an entry VM",
		Long: `Run an entry VM with the settings in FILE (JSON with comments).

SIGTERM or SIGINT starts a planned stop: the VM hands its targets over, finishes what is in
flight and ends. A second signal ends it at once.`,
		Example: "  mangoweir serve examples/sfax/vms/sfax-medina-1.jsonc",
		Args:    cobra.ExactArgs(1),
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		st, err := settings.Load(args[0])
		if err != nil {
			return err
		}
		return serve(cmd.Context(), st, cmd.ErrOrStderr())
	}
	return cmd
}

// loadKeys sets the credentials of peer links if the settings name certificates, and takes over
// renewed files until ctx ends. Errors are those of keys.Load.
func loadKeys(ctx context.Context, opts *daemon.Options) error {
	st := opts.Settings
	if st.TLS == nil {
		return nil
	}
	files := keys.Files{Certificate: st.TLS.Cert, Key: st.TLS.Key, Authority: st.TLS.CA}
	store, err := keys.Load(files, string(st.Name), telemetry.ComponentLogger(opts.Log, "keys"))
	if err != nil {
		return err
	}
	opts.Credentials = store
	go store.Watch(ctx, keys.DefaultReloadInterval)
	return nil
}

// serve runs an entry VM until it is told to stop.
func serve(ctx context.Context, st *settings.Settings, logs io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	log, err := telemetry.NewLogger(logs, telemetry.LogSettings{
		Format: telemetry.LogFormat(st.Log.Format), Level: st.Log.Level,
	})
	if err != nil {
		return err
	}
	opts := daemon.Options{Settings: st, Log: log}
	ctx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	if err := loadKeys(ctx, &opts); err != nil {
		return err
	}
	d, err := daemon.Start(opts)
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-stop.Done():
		}
	}()
	if err := d.Stop(stop); err != nil {
		return errors.Annotate(err, "planned stop was cut short; requests in flight may have been lost")
	}
	return nil
}
