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

// stopTimeout bounds a planned stop. Flows are handed over within a second; the remaining requests in
// flight end at their deadlines.
const stopTimeout = 45 * time.Second

// newServe returns the command that runs an entry VM.
func (a *app) newServe() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run an entry VM",
		Long: `Run an entry VM with the settings in FILE (JSON with comments).

SIGTERM or SIGINT starts a planned stop: the VM hands its targets over, completes the requests in
flight and exits. A second signal makes it exit immediately.`,
		Example: "  mangoweir serve examples/sfax/vms/sfax-medina-1.jsonc",
		Args:    cobra.ExactArgs(1),
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		vmSettings, err := settings.Load(args[0])
		if err != nil {
			return err
		}
		return serve(cmd.Context(), vmSettings, cmd.ErrOrStderr())
	}
	return cmd
}

// loadKeys sets the credentials of peer links if the settings have certificates, and reloads renewed
// files until ctx is done. It returns the errors of keys.Load.
func loadKeys(ctx context.Context, opts *daemon.Options) error {
	vmSettings := opts.Settings
	if vmSettings.TLS == nil {
		return nil
	}
	files := keys.Files{Certificate: vmSettings.TLS.Cert, Key: vmSettings.TLS.Key, Authority: vmSettings.TLS.CA}
	store, err := keys.Load(files, string(vmSettings.Name), telemetry.ComponentLogger(opts.Log, "keys"))
	if err != nil {
		return err
	}
	opts.Credentials = store
	go store.Watch(ctx, keys.DefaultReloadInterval)
	return nil
}

// serve runs an entry VM until a signal arrives or ctx is done, and then starts a planned stop.
func serve(ctx context.Context, vmSettings *settings.Settings, logs io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	log, err := telemetry.NewLogger(logs, telemetry.LogSettings{
		Format: telemetry.LogFormat(vmSettings.Log.Format), Level: vmSettings.Log.Level,
	})
	if err != nil {
		return err
	}
	opts := daemon.Options{Settings: vmSettings, Log: log}
	ctx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	if err := loadKeys(ctx, &opts); err != nil {
		return err
	}
	vm, err := daemon.Start(opts)
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-stopCtx.Done():
		}
	}()
	if err := vm.Stop(stopCtx); err != nil {
		return errors.Annotate(err, "planned stop did not complete; requests in flight may have been lost")
	}
	return nil
}
