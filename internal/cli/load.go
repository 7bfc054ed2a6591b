package cli

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/internal/load"
)

// NewLoadCommand returns the load command, which sends requests to services. It fails when a flag is out
// of range, when a socket cannot be opened, or when clients observed that a guarantee was violated.
func NewLoadCommand() *cobra.Command {
	var opts load.Options
	var services []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "load --service ADDRESS:PORT...",
		Short:   "Send requests to services and summarize the answers",
		Example: "  mangoweir load --service 127.2.0.1:5683 --feeds 20 --reads 50 --postings 20 --duration 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addrs, err := parseAddrs(services)
			if err != nil {
				return err
			}
			opts.Services = addrs
			summary, err := load.Run(cmd.Context(), opts)
			if err != nil {
				return err
			}
			if err := printSummary(cmd, &summary, asJSON); err != nil {
				return err
			}
			return summary.Violation()
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&services, "service", nil, "address and port of a service; may be repeated")
	flags.IntVar(&opts.Clients, "callers", 50, "number of clients, each with a flow of its own")
	flags.IntVar(&opts.Feeds, "feeds", 0, "number of clients that keep a live feed open")
	flags.Float64Var(&opts.ReadRate, "reads", 0, "reads per second")
	flags.Float64Var(&opts.PostingRate, "postings", 0, "postings per second")
	flags.Float64Var(&opts.UploadRate, "uploads", 0, "uploads per second")
	flags.IntVar(&opts.UploadSize, "upload-size", 0, "size of an upload in bytes (default 200000)")
	flags.DurationVar(&opts.Duration, "duration", 0, "time in which requests are started (default 10s)")
	flags.DurationVar(&opts.Deadline, "deadline", 0, "deadline of requests (default 5s)")
	flags.IntVar(&opts.MaxRequests, "max-requests", 0, "maximum number of requests other than live feeds (default 1000000)")
	flags.IntVar(&opts.AuditLimit, "audit", 0, "postings per client to look up in the targets' ledger")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of all random choices")
	flags.BoolVar(&asJSON, "json", false, "print the summary as JSON")
	return cmd
}

// parseAddrs parses addresses with ports.
func parseAddrs(values []string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, v := range values {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, fmt.Errorf("--service %q: %w; use an IP address and a port", v, err)
		}
		addrs = append(addrs, a)
	}
	return addrs, nil
}

// printSummary writes the summary to the command's output.
func printSummary(cmd *cobra.Command, summary *load.Summary, asJSON bool) error {
	if !asJSON {
		return summary.WriteText(cmd.OutOrStdout())
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(summary)
}
