package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionOutput is the output of version as JSON.
type versionOutput struct {
	Version string `json:"version"`
	// Revision is the commit from which the binary was built; empty when unknown.
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// newVersion returns the command that prints the version.
func (a *app) newVersion() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  mangoweir version -o json",
		Args:    cobra.NoArgs,
	}
	format := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		v := readVersion()
		text := fmt.Sprintf("mangoweir %s %s %s\n", v.Version, v.Revision, v.Go)
		return format.print(cmd.OutOrStdout(), text, v)
	}
	return cmd
}

func readVersion() versionOutput {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionOutput{Version: "unknown"}
	}
	out := versionOutput{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			out.Revision = setting.Value
		}
	}
	return out
}
