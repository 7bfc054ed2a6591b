package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/apicall"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// remoteFlags holds the flags of commands that use the platform's objects.
type remoteFlags struct {
	platform, vm string
	timeout      time.Duration
}

// addRemoteFlags adds the flags in remoteFlags to a command.
func (a *app) addRemoteFlags(cmd *cobra.Command) {
	f := &a.remote
	cmd.Flags().StringVar(&f.platform, "platform", "", "URL of the platform's object API")
	cmd.Flags().StringVar(&f.vm, "vm", "", "URL of any entry VM's HTTP port, which forwards calls to the platform")
	cmd.Flags().DurationVar(&f.timeout, "timeout", apicall.DefaultTimeout, "timeout of each call")
}

// client returns a client of the platform or entry VM that the flags name.
func (f *remoteFlags) client() (*platform.Client, error) {
	url := f.platform
	switch {
	case (f.platform == "") == (f.vm == ""):
		return nil, usagef("name either --platform URL or --vm URL")
	case f.timeout <= 0:
		return nil, usagef("--timeout %s: use more than 0s", f.timeout)
	case url == "":
		url = f.vm
	}
	client, err := platform.NewClient(url, platform.Options{Timeout: f.timeout})
	if err != nil {
		return nil, &usageError{err}
	}
	return client, nil
}

// readManifest reads the manifest in force; generation 0 means that there is none.
func readManifest(ctx context.Context, store platform.Store) (contract.StoredManifest, error) {
	object, err := store.Get(ctx, platform.ManifestKey)
	if err != nil {
		return contract.StoredManifest{}, err
	}
	return contract.StoredManifest{Generation: core.Generation(object.Version), Text: object.Value}, nil
}
