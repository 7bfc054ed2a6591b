package cli

import (
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	standin "github.com/mangoweir/mangoweir/internal/standin/platform"
)

// newPlatform returns the command that runs the platform stand-in.
func (a *app) newPlatform() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an in-memory platform for trials",
		Long: `Run an in-memory stand-in for the platform's object API on a loopback address, for trials only.

It runs until it is interrupted. Its objects are then lost.`,
		Example: "  mangoweir platform --listen 127.0.0.1:8500",
		Args:    cobra.NoArgs,
	}
	listen := cmd.Flags().String("listen", "127.0.0.1:8500", "loopback address")
	delay := cmd.Flags().Duration("delay", 2*time.Millisecond, "time that each call takes")
	rate := cmd.Flags().Float64("rate", 0, "calls per second that are accepted; 0 accepts all")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if *rate < 0 || *delay < 0 {
			return usagef("--rate and --delay: use 0 or more")
		}
		server := standin.New()
		server.SetDelay(*delay)
		server.SetRate(*rate, max(1, int(*rate)))
		url, err := server.Start(*listen)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		fmt.Fprintf(cmd.OutOrStdout(), "platform: serving on %s\n", url)
		<-ctx.Done()
		return server.Close()
	}
	return cmd
}
