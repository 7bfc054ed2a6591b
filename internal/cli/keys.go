package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
)

// CreateCA creates a certificate authority for peer links: the files ca.pem and ca-key.pem in dir.
var CreateCA func(dir string) error

// CreateCert creates a certificate for a VM with the authority in dir: the files NAME.pem and
// NAME-key.pem in dir.
var CreateCert func(dir string, vm core.VMName) error

var errNoKeys = errors.New("this build cannot create keys; use a release build")

// newKeys returns the command that creates certificates for peer links.
func (a *app) newKeys() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "keys",
		Short:   "Create certificates for links between VMs",
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
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if CreateCA == nil {
			return errNoKeys
		}
		if err := CreateCA(*dir); err != nil {
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
		Example: "  mangoweir keys cert --dir keys randstad-ut-1",
		Args:    cobra.MinimumNArgs(1),
	}
	dir := addDirFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if CreateCert == nil {
			return errNoKeys
		}
		for _, name := range args {
			if err := CreateCert(*dir, core.VMName(name)); err != nil {
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
