package cli

import (
	"bytes"
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// applyResult is the output of apply and zone as JSON.
type applyResult struct {
	Generation core.Generation `json:"generation"`
	// Changed is false when the same manifest was already in force.
	Changed bool `json:"changed"`
}

func (r applyResult) text() string {
	if !r.Changed {
		return fmt.Sprintf("unchanged: generation %d is in force\n", r.Generation)
	}
	return fmt.Sprintf("accepted: generation %d\n", r.Generation)
}

// newApply returns the command that puts a manifest in force.
func (a *app) newApply() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a manifest in force",
		Long: `Put a manifest in force. FILE may be - for standard input.

The manifest is written only if the one that apply has read is still in force. If the response to the
write is lost, apply reads the manifest back to find out whether it was accepted. Applying the text in
force again changes nothing. A zone without a state keeps the state in force. A target whose address
belonged to another service until recently gets no packets for 15 s.`,
		Example: "  mangoweir apply --platform http://127.0.0.1:8500 examples/sfax/manifest.jsonc",
		Args:    cobra.ExactArgs(1),
	}
	a.addRemoteFlags(cmd)
	format := addOutputFlag(cmd)
	base := cmd.Flags().Uint64("base", 0, "fail unless this generation is in force; 0 accepts any")
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
		result, err := apply(cmd.Context(), client, text, *base)
		if err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), result.text(), result)
	}
	return cmd
}

// apply puts a valid manifest in force. base is the generation that must be in force before; 0 accepts any.
func apply(ctx context.Context, store platform.Store, text []byte, base uint64) (applyResult, error) {
	inForce, err := readManifest(ctx, store)
	if err != nil {
		return applyResult{}, err
	}
	if base != 0 && base != uint64(inForce.Generation) {
		return applyResult{}, &platform.ConflictError{Key: platform.ManifestKey, Expected: base, Version: uint64(inForce.Generation)}
	}
	next, err := contract.KeepZoneStates(inForce, contract.StripGenerated(text))
	if err != nil {
		return applyResult{}, err
	}
	return putIfChanged(ctx, store, inForce, next)
}

// putIfChanged writes text as the generation after inForce, unless it equals the text in force.
func putIfChanged(ctx context.Context, store platform.Store, inForce contract.StoredManifest, text []byte) (applyResult, error) {
	if inForce.Generation > 0 && bytes.Equal(contract.StripGenerated(inForce.Text), text) {
		return applyResult{Generation: inForce.Generation}, nil
	}
	gen, err := writeManifest(ctx, store, inForce, text)
	return applyResult{Generation: gen, Changed: true}, err
}
