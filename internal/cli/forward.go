package cli

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/forwarder"
	// Package hangup is initialized early, so that SIGHUP does not end a process that is still starting.
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
by default. They are reloaded on SIGHUP and when the file changes. SIGTERM starts a planned stop: the
VM reports that it is not ready and forwards packets until no more arrive. Logs go to standard output.`,
		Example: "  mangoweir forward",
		Args:    cobra.NoArgs,
	}
	var incarnationTokens bool
	cmd.Flags().BoolVar(&incarnationTokens, "incarnation-tokens", false,
		"write the tokens of targets' incarnations into packets, while VMs run a release that knows no others (default: those of targets)")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		p := usersPlatform(platform.SettingsPath())
		load := p.LoadSettings
		p.LoadSettings = func() (*forwarder.Settings, error) {
			settings, err := load()
			if err == nil {
				settings.Limits.WriteIncarnationTokens = incarnationTokens
			}
			return settings, err
		}
		return forwarder.Run(cmd.Context(), p, cmd.OutOrStdout())
	}
	return cmd
}

// usersPlatform returns the functions with which package platform translates between the users' platform
// and the forwarder.
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
			SetTarget:   platform.SetPacketTarget,
			EncodeReset: platform.EncodeReset,
		},
		ReadinessHandler: platform.ReadinessHandler,
		ReadinessPath:    platform.ReadinessPath,
	}
}
