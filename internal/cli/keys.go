package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/keys"
)

// authorityName is the subject of certificate authorities. It appears only in TLS error messages.
const authorityName = "mangoweir"

// newKeys returns the command that creates certificates for peer links.
func (a *app) newKeys() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Create certificates for links between VMs",
		Long: `Create the certificates with which VMs authenticate each other.

The commands write ca.pem, ca-key.pem and, for each VM, NAME.pem and NAME-key.pem to the directory. A
VM needs ca.pem and its own two files; ca-key.pem stays with the operators.`,
		Example: "  mangoweir keys ca --dir keys\n  mangoweir keys cert --dir keys randstad-ut-1 randstad-ut-2",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return usagef("keys: use ca or cert") },
	}
	cmd.AddCommand(newKeysCA(), newKeysCert())
	return cmd
}

func newKeysCA() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "ca",
		Short:   "Create a certificate authority",
		Example: "  mangoweir keys ca --dir keys",
		Args:    cobra.NoArgs,
	}
	dir := addDirFlag(cmd)
	validity := addValidityFlag(cmd, keys.DefaultAuthorityValidity)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if *validity <= 0 {
			return usagef("keys ca: --validity must be more than 0s")
		}
		if err := keys.CreateAuthority(*dir, authorityName, *validity); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "created the certificate authority in %s\n", *dir)
		return nil
	}
	return cmd
}

func newKeysCert() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "cert VM...",
		Short:   "Create certificates for VMs",
		Example: "  mangoweir keys cert --dir keys randstad-ut-1\n  mangoweir keys cert --dir keys --renew randstad-ut-1",
		Args:    cobra.MinimumNArgs(1),
	}
	dir := addDirFlag(cmd)
	validity := addValidityFlag(cmd, keys.DefaultValidity)
	renew := cmd.Flags().Bool("renew", false, "replace existing certificates; running VMs reload them")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if *validity <= 0 {
			return usagef("keys cert: --validity must be more than 0s")
		}
		for _, name := range args {
			if err := keys.Issue(*dir, *dir, name, *validity, *renew); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "created the certificate of %s in %s\n", name, *dir)
		}
		return nil
	}
	return cmd
}

func addDirFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("dir", "keys", "directory of the certificate authority and certificates")
}

func addValidityFlag(cmd *cobra.Command, defaultValue time.Duration) *time.Duration {
	return cmd.Flags().Duration("validity", defaultValue, "time until the certificate expires")
}
