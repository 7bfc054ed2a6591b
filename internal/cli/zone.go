package cli

import (
	"context"
	"errors"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// maxZoneAttempts bounds how often a zone change is tried when other writes are accepted before it.
const maxZoneAttempts = 5

// newZone returns the command that takes zones out of service and back.
func (a *app) newZone() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "zone out|in NAME",
		Short: "Take a zone out of service or back into it",
		Long: `Take a zone out of service or back into it. The change is a new generation of the manifest.

If another generation is accepted first, the change is made to that one. Flows to targets in a zone
that is taken out of service are dropped. The last zone in service stays in service unless --last is
given.`,
		Example:   "  mangoweir zone out randstad-dt --vm http://127.2.11.1:8080",
		Args:      cobra.ExactArgs(2),
		ValidArgs: []string{contract.ZoneOut, contract.ZoneIn},
	}
	a.addRemoteFlags(cmd)
	format := addOutputFlag(cmd)
	last := cmd.Flags().Bool("last", false, "allow the last zone in service to be taken out")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		state := args[0]
		if state != contract.ZoneIn && state != contract.ZoneOut {
			return usagef("zone %s: use out or in", state)
		}
		client, err := a.remote.client()
		if err != nil {
			return err
		}
		result, err := setZone(cmd.Context(), client, args[1], state, *last)
		if err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), result.text(), result)
	}
	return cmd
}

// errLastZone is returned when no zone would be left in service. It guards against two operators who take
// out the last two zones at the same time.
var errLastZone = errors.New("no zone would be left in service; take another zone in first, or use --last")

// hasZoneInService reports whether a valid manifest has a zone in service.
func hasZoneInService(text []byte) bool {
	config, err := contract.Decode(0, text)
	if err != nil {
		return false
	}
	for _, z := range config.Zones {
		if z.State == core.ZoneIn {
			return true
		}
	}
	return false
}

// setZone changes the state of a zone in the manifest in force. After a conflict it starts again with the
// newer manifest.
func setZone(ctx context.Context, store platform.Store, zone, state string, last bool) (applyResult, error) {
	for attempt := 1; ; attempt++ {
		inForce, err := readManifest(ctx, store)
		if err != nil {
			return applyResult{}, err
		}
		if inForce.Generation == 0 {
			return applyResult{}, errNoManifest
		}
		next, err := contract.SetZoneState(contract.StripGenerated(inForce.Text), zone, state)
		if err != nil {
			return applyResult{}, err
		}
		if state == contract.ZoneOut && !last && !hasZoneInService(next) {
			return applyResult{}, errLastZone
		}
		result, err := putIfChanged(ctx, store, inForce, next)
		var conflict *platform.ConflictError
		if attempt == maxZoneAttempts || !errors.As(err, &conflict) {
			return result, err
		}
	}
}
