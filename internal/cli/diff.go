package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// diffOutput is the output of diff as JSON.
type diffOutput struct {
	Generation core.Generation   `json:"generation"`
	Changes    []contract.Change `json:"changes"`
}

func (d diffOutput) text() string {
	if len(d.Changes) == 0 {
		return fmt.Sprintf("no difference to generation %d\n", d.Generation)
	}
	var b strings.Builder
	for _, c := range d.Changes {
		fmt.Fprintln(&b, c)
	}
	return b.String()
}

// newDiff returns the command that compares a manifest with the one in force.
func (a *app) newDiff() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying a manifest would change",
		Long:    "Show what applying a manifest would change. FILE may be - for standard input.",
		Example: "  mangoweir diff --platform http://127.0.0.1:8500 examples/sfax/manifest.jsonc",
		Args:    cobra.ExactArgs(1),
	}
	a.addRemoteFlags(cmd)
	format := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		if _, err := contract.Parse(args[0], text); err != nil {
			return err
		}
		client, err := a.remote.client()
		if err != nil {
			return err
		}
		out, err := diff(cmd.Context(), client, text)
		if err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), out.text(), out)
	}
	return cmd
}

// diff compares a valid manifest, as apply would store it, with the manifest in force.
func diff(ctx context.Context, store platform.Store, text []byte) (diffOutput, error) {
	inForce, err := readManifest(ctx, store)
	if err != nil {
		return diffOutput{}, err
	}
	text, err = contract.KeepZoneStates(inForce, contract.StripGenerated(text))
	if err != nil {
		return diffOutput{}, err
	}
	next, err := contract.Parse("manifest", text)
	if err != nil {
		return diffOutput{}, err
	}
	var previous *contract.Manifest
	if inForce.Generation > 0 {
		if previous, err = contract.Parse("manifest in force", inForce.Text); err != nil {
			return diffOutput{}, fmt.Errorf("the manifest in force is invalid, apply a valid one: %s", err)
		}
	}
	return diffOutput{Generation: inForce.Generation, Changes: contract.Diff(previous, next)}, nil
}
