package cli

import (
	"errors"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
)

var errNoManifest = errors.New("no manifest is in force; apply one first")

// inForceOutput is the output of get as JSON.
type inForceOutput struct {
	Generation core.Generation `json:"generation"`
	// Manifest is the manifest's text.
	Manifest string `json:"manifest"`
}

// newGet returns the command that prints the manifest in force.
func (a *app) newGet() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "get",
		Short:   "Print the manifest in force",
		Long:    "Print the manifest in force as it was applied, with the states of zones in force.",
		Example: "  mangoweir get --platform http://127.0.0.1:8500 > manifest.jsonc",
		Args:    cobra.NoArgs,
	}
	a.addRemoteFlags(cmd)
	format := addOutputFlag(cmd)
	stored := cmd.Flags().Bool("stored", false, "include the field \"generated\", which apply adds")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := a.remote.client()
		if err != nil {
			return err
		}
		inForce, err := readManifest(cmd.Context(), client)
		if err != nil {
			return err
		}
		if inForce.Generation == 0 {
			return errNoManifest
		}
		text := inForce.Text
		if !*stored {
			text = contract.StripGenerated(text)
		}
		return format.print(cmd.OutOrStdout(), string(text), inForceOutput{inForce.Generation, string(text)})
	}
	return cmd
}
