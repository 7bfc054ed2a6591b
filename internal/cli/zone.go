package cli

import (
	"context"
	"errors"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// maxZoneTries bounds how often a zone change starts over after a lost race.
const maxZoneTries = 5

// newZone returns the command that takes zones out of service and back.
func (a *app) newZone() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "zone out|in NAME",
		Short: "Take a zone out of service or back into it",
		Long: `Take a zone out of service or back into it. This is an ordinary new generation of the manifest.

When another generation is accepted at the same moment, the change is made to that one. Flows that end
in a zone taken out of service are given up. The last zone in service stays in service unless --last
is given.`,
		Example:   "  mangoweir zone out randstad-dt --vm http://127.2.11.1:8080",
		Args:      cobra.ExactArgs(2),
		ValidArgs: []string{contract.ZoneOut, contract.ZoneIn},
	}
	a.addRemoteFlags(cmd)
	format := addOutputFlag(cmd)
	last := cmd.Flags().Bool("last", false, "allow that no zone is left in service")
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

// errLastZone guards against two operators who take the two last zones out at the same moment.
var errLastZone = errors.New("no zone would be left in service; take another zone in first, or use --last")

// inService reports whether a valid manifest has a zone in service.
func inService(text []byte) bool {
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

// setZone changes the state of a zone in the manifest in force.
func setZone(ctx context.Context, store platform.Store, zone, state string, last bool) (acceptance, error) {
	for n := 1; ; n++ {
		inForce, err := readManifest(ctx, store)
		if err != nil {
			return acceptance{}, err
		}
		if inForce.Generation == 0 {
			return acceptance{}, errNoManifest
		}
		next, err := contract.SetZoneState(contract.StripGenerated(inForce.Text), zone, state)
		if err != nil {
			return acceptance{}, err
		}
		if state == contract.ZoneOut && !last && !inService(next) {
			return acceptance{}, errLastZone
		}
		result, err := put(ctx, store, inForce, next)
		var conflict *platform.ConflictError
		if n == maxZoneTries || !errors.As(err, &conflict) {
			return result, err
		}
	}
}
