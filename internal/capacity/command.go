package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Command returns the command that measures all series, or one group of them, and prints them with their
// fits.
func Command() *cobra.Command {
	var (
		asJSON bool
		only   string
		seed   uint64
	)
	cmd := &cobra.Command{
		Use:           "capacity",
		Short:         "Measure how the cost of the decision core grows with the deployment",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			groups, err := selectGroups(only)
			if err != nil {
				return err
			}
			var all []*Series
			for _, g := range groups {
				fmt.Fprintf(cmd.ErrOrStderr(), "measuring %s: %s\n", g.Name, g.Description)
				all = append(all, Measure(g, seed)...)
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(all)
			}
			return writeTable(cmd.OutOrStdout(), all)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().StringVar(&only, "only", "", "run one measurement: "+strings.Join(groupNames(), ", "))
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the fleets")
	return cmd
}

func groupNames() []string {
	var names []string
	for _, g := range Groups() {
		names = append(names, g.Name)
	}
	return names
}

func selectGroups(only string) ([]Group, error) {
	if only == "" {
		return Groups(), nil
	}
	for _, g := range Groups() {
		if g.Name == only {
			return []Group{g}, nil
		}
	}
	return nil, fmt.Errorf("no measurement is named %q; use one of %s", only, strings.Join(groupNames(), ", "))
}

// writeTable writes a line for each series, with its fit and its points.
func writeTable(w io.Writer, all []*Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "group\tcost\tunit\tper\tslope\tstd err\tintercept\tR²\texponent\tsize: cost")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.2g\t%.4g\t%.3f\t%.2f\t", s.Group, s.Cost, s.Unit, s.Per,
			s.Fit.Slope, s.Fit.StdErr, s.Fit.Intercept, s.Fit.R2, s.Fit.Exponent)
		for _, p := range s.Points {
			fmt.Fprintf(t, "%.6g: %.4g  ", p.X, p.Y)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
