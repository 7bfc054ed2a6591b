package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/jsonc"
	"github.com/mangoweir/mangoweir/internal/settings"
)

// checkOutput is the output of check as JSON.
type checkOutput struct {
	Files    []checkedFile   `json:"files"`
	Problems []jsonc.Problem `json:"problems"`
}

// checkedFile is a valid file.
type checkedFile struct {
	File string `json:"file"`
	// Kind is "manifest" or "settings".
	Kind string `json:"kind"`
}

// newCheck returns the command that validates files.
func (a *app) newCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate manifests and settings without using the network",
		Long: `Validate manifests and settings without using the network. FILE may be - for standard input.

All problems of all files are reported, each with its position, the value found and the remedy.`,
		Example: "  mangoweir check examples/sfax/manifest.jsonc examples/sfax/vms/*.jsonc",
		Args:    cobra.MinimumNArgs(1),
	}
	format := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		out := checkOutput{Files: []checkedFile{}, Problems: []jsonc.Problem{}}
		allProblems := &jsonc.Problems{}
		for _, name := range args {
			kind, err := checkFile(cmd, name)
			var problems *jsonc.Problems
			switch {
			case errors.As(err, &problems):
				allProblems.List = append(allProblems.List, problems.List...)
				allProblems.Omitted += problems.Omitted
			case err != nil:
				return err
			default:
				out.Files = append(out.Files, checkedFile{name, kind})
			}
		}
		out.Problems = append(out.Problems, allProblems.List...)
		if err := format.print(cmd.OutOrStdout(), out.text(), out); err != nil {
			return err
		}
		if len(allProblems.List) > 0 {
			return allProblems
		}
		return nil
	}
	return cmd
}

// text lists the valid files. The problems are returned as an error and printed to standard error.
func (o checkOutput) text() string {
	s := ""
	for _, f := range o.Files {
		s += fmt.Sprintf("%s: valid %s\n", f.File, f.Kind)
	}
	return s
}

// checkFile validates a file and returns its kind.
func checkFile(cmd *cobra.Command, name string) (kind string, err error) {
	text, err := readFile(cmd, name)
	if err != nil {
		return "", err
	}
	doc, err := jsonc.Parse(name, text)
	if err != nil {
		return "", err
	}
	if isSettings(doc) {
		_, err = settings.Parse(name, text)
		return "settings", err
	}
	_, err = contract.Parse(name, text)
	return "manifest", err
}

// isSettings reports whether a document is a settings file and not a manifest. It looks for fields that
// only settings have.
func isSettings(doc *jsonc.Document) bool {
	for _, field := range []string{"listen", "fabricReturn", "platform", "seeds"} {
		if _, _, ok := doc.Span(jsonc.Path{field}); ok {
			return true
		}
	}
	return false
}
