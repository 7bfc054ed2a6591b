package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/configcheck"
	"github.com/mangoweir/mangoweir/internal/jsonc"
	"github.com/mangoweir/mangoweir/platform"
)

// configOutput is the output of check-config as JSON.
type configOutput struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	// InForce is the version in force; 0 when there is none or it was not asked for.
	InForce  uint64                `json:"inForce"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

// configError is the error for a configuration with at least one finding that is an error.
type configError struct {
	file     string
	findings []configcheck.Finding
}

// Error returns one line for each finding that is an error.
func (e *configError) Error() string {
	var lines []string
	for _, f := range e.findings {
		if f.Severity == configcheck.Error {
			lines = append(lines, fmt.Sprintf("%s:%s", e.file, spaced(f)))
		}
	}
	return strings.Join(lines, "\n")
}

// spaced returns a finding as it follows a file name and a colon: with a space unless it starts with a position.
func spaced(f configcheck.Finding) string {
	if f.Line > 0 {
		return f.String()
	}
	return " " + f.String()
}

// newCheckConfig returns the command that checks a configuration of the users' platform.
func (a *app) newCheckConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a configuration of the users' platform before it is sent",
		Long: `Check a configuration of the users' platform before it is sent. FILE may be - for standard input. It contains the
configuration, or the object with meta and spec. Errors go to standard error, warnings and differences to standard
output. Only the fields that mangoweir forward uses, and timeoutMs, are checked and compared.`,
		Example: "  mangoweir check-config --store 10.0.0.9:8500 next.json",
		Args:    cobra.ExactArgs(1),
	}
	var against, store string
	cmd.Flags().StringVar(&against, "against", "", "file with the configuration in force")
	cmd.Flags().StringVar(&store, "store", "", "address (host:port) of the store with the configuration in force")
	format := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		switch {
		case against != "" && store != "":
			return usagef("name either --against FILE or --store ADDRESS")
		case args[0] == "-" && against == "-":
			return usagef("only one file can be standard input")
		}
		out := configOutput{File: args[0], Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
		next, err := readConfig(cmd, args[0])
		if err == nil {
			err = out.check(cmd, next, against, store)
		}
		failed, ok := err.(*configError)
		switch {
		case ok && failed.file == args[0]:
			out.Findings = append(out.Findings, failed.findings...)
		case err != nil:
			return err
		}
		if err := format.print(cmd.OutOrStdout(), out.text(), out); err != nil {
			return err
		}
		return out.err()
	}
	return cmd
}

// check adds the findings of a configuration and its differences to the one in force.
func (o *configOutput) check(cmd *cobra.Command, next *platform.CheckedConfig, against, store string) error {
	o.Version = next.Version
	var (
		inForce *platform.CheckedConfig
		err     error
	)
	switch {
	case against != "":
		inForce, err = readConfig(cmd, against)
	case store != "":
		inForce, err = readStoredConfig(cmd.Context(), store)
	}
	if err != nil {
		return err
	}
	if inForce != nil {
		o.InForce = inForce.Version
		o.Findings = append(o.Findings, configcheck.CheckVersion(inForce, next)...)
		o.Changes = append(o.Changes, configcheck.Compare(inForce, next)...)
	}
	o.Findings = append(o.Findings, configcheck.Check(next)...)
	return nil
}

// readConfig reads and decodes a file. It returns a *configError for a file that cannot be decoded.
func readConfig(cmd *cobra.Command, name string) (*platform.CheckedConfig, error) {
	text, err := readFile(cmd, name)
	if err != nil {
		return nil, err
	}
	if len(text) > jsonc.MaxSize {
		return nil, &configError{name, []configcheck.Finding{{
			Severity: configcheck.Error, Message: "the file is too large", Remedy: fmt.Sprintf("keep it within %d bytes", jsonc.MaxSize),
		}}}
	}
	config, err := platform.DecodeCheckedConfig(text)
	if err != nil {
		return nil, &configError{name, []configcheck.Finding{configcheck.Undecodable(text, err)}}
	}
	return config, nil
}

// readStoredConfig returns the configuration in the store at an address, or nil.
func readStoredConfig(ctx context.Context, address string) (*platform.CheckedConfig, error) {
	store, err := platform.NewStore(address, nil)
	if err != nil {
		return nil, &usageError{err}
	}
	return store.CheckedConfig(ctx)
}

// err returns the findings that are errors, or nil.
func (o *configOutput) err() error {
	for _, f := range o.Findings {
		if f.Severity == configcheck.Error {
			return &configError{o.File, o.Findings}
		}
	}
	return nil
}

// text lists warnings and changes. Errors are returned as an error and printed to standard error.
func (o *configOutput) text() string {
	var b strings.Builder
	for _, f := range o.Findings {
		if f.Severity == configcheck.Warning {
			fmt.Fprintf(&b, "%s:%s\n", o.File, spaced(f))
		}
	}
	for _, c := range o.Changes {
		fmt.Fprintln(&b, c)
	}
	if o.err() == nil {
		fmt.Fprintf(&b, "%s: version %d can be sent\n", o.File, o.Version)
	}
	return b.String()
}
