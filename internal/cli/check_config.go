package cli

import (
	"errors"
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

// configError is the error for a configuration with findings that are errors.
type configError struct {
	text     string
	findings []configcheck.Finding
}

// Error returns one line for each finding that is an error.
func (e *configError) Error() string { return e.text }

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
		var invalid *configError
		switch {
		case errors.As(err, &invalid):
			out.Findings = invalid.findings
		case err != nil:
			return err
		default:
			inForce, err := readConfigInForce(cmd, against, store)
			if err != nil {
				return err
			}
			out.check(inForce, next)
		}
		failure := newConfigError(out.File, out.Findings)
		if err := format.print(cmd.OutOrStdout(), out.text(failure == nil), out); err != nil {
			return err
		}
		return failure
	}
	return cmd
}

// check adds the findings of a configuration and its differences to the one in force, which may be nil.
func (o *configOutput) check(inForce, next *platform.CheckedConfig) {
	o.Version = next.Version
	if inForce != nil {
		o.InForce = inForce.Version
		o.Findings = append(o.Findings, configcheck.CheckVersion(inForce, next)...)
		o.Changes = append(o.Changes, configcheck.Compare(inForce, next)...)
	}
	o.Findings = append(o.Findings, configcheck.Check(next)...)
}

// text lists warnings and changes. Errors are printed to standard error.
func (o *configOutput) text(valid bool) string {
	text := findingLines(o.File, o.Findings, configcheck.Warning)
	for _, c := range o.Changes {
		text += c.String() + "\n"
	}
	if valid {
		text += fmt.Sprintf("%s: version %d can be sent\n", o.File, o.Version)
	}
	return text
}

func findingLines(file string, findings []configcheck.Finding, severity configcheck.Severity) string {
	var b strings.Builder
	for _, f := range findings {
		if f.Severity == severity {
			fmt.Fprintln(&b, f.Text(file))
		}
	}
	return b.String()
}

// newConfigError returns an error if a finding is one, or nil.
func newConfigError(file string, findings []configcheck.Finding) error {
	if text := findingLines(file, findings, configcheck.Error); text != "" {
		return &configError{strings.TrimSuffix(text, "\n"), findings}
	}
	return nil
}

// readConfig reads and decodes a file. It returns a *configError for a file that cannot be decoded.
func readConfig(cmd *cobra.Command, name string) (*platform.CheckedConfig, error) {
	text, err := readFile(cmd, name)
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeCheckedConfig(text)
	if len(text) > jsonc.MaxSize {
		err = fmt.Errorf("the file has more than %d bytes, the store's limit", jsonc.MaxSize)
	}
	if err != nil {
		return nil, newConfigError(name, []configcheck.Finding{configcheck.Undecodable(text, err)})
	}
	return config, nil
}

// readConfigInForce reads the configuration in force from a file or the store. It returns nil when neither is named or the store has
// none.
func readConfigInForce(cmd *cobra.Command, file, address string) (*platform.CheckedConfig, error) {
	switch {
	case file != "":
		return readConfig(cmd, file)
	case address == "":
		return nil, nil
	}
	store, err := platform.NewStore(address, nil)
	if err != nil {
		return nil, &usageError{err}
	}
	return store.CheckedConfig(cmd.Context())
}
