package cli

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/forwarder"
	// Initialised early, so that SIGHUP does not end a starting daemon.
	_ "github.com/mangoweir/mangoweir/internal/hangup"
	"github.com/mangoweir/mangoweir/platform"
)

// newForward returns the command that forwards packets on the users' platform.
func (a *app) newForward() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "forward",
		Short: "Forward packets on a VM of the users' platform",
		Long: `Forward packets on a VM of the users' platform.

The settings come from the file that ` + platform.SettingsEnv + ` names, ` + platform.DefaultSettingsPath + `
by default. SIGHUP reloads them; so does a change of the file. SIGTERM starts a planned stop: the VM
says that it is not ready and forwards until packets no longer come. Logs go to standard output.`,
		Example: "  mangoweir forward",
		Args:    cobra.NoArgs,
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return forwarder.Run(cmd.Context(), usersPlatform(platform.SettingsPath()), cmd.OutOrStdout())
	}
	return cmd
}

// usersPlatform joins the translations of package platform.
func usersPlatform(settingsPath string) forwarder.Platform {
	return forwarder.Platform{
		LoadSettings: func() (*forwarder.Settings, error) { return platform.LoadSettings(settingsPath) },
		SettingsPath: settingsPath,
		NewStore: func(address string, observe func(string, time.Duration, error)) (feed.Store, error) {
			return platform.NewStore(address, observe)
		},
		PacketFormat: forwarder.PacketFormat{
			Prefix:      platform.TargetPrefixSize,
			MaxSize:     platform.MaxPacketSize,
			Decode:      platform.DecodePacket,
			SetTarget:   platform.AddressPacket,
			EncodeReset: platform.ResetPacket,
		},
		ReadinessHandler: platform.ReadinessHandler,
		ReadinessPath:    platform.ReadinessPath,
	}
}
