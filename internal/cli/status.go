package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// statusOutput is the output of status as JSON.
type statusOutput struct {
	// Generation is the newest accepted generation.
	Generation core.Generation `json:"generation"`
	VMs        []core.VMStatus `json:"vms"`
	// Lagging lists the VMs that have an older generation. Unknown lists the zone members that are missing
	// from the status objects; it is empty with --vm.
	Lagging []core.VMName `json:"lagging"`
	Unknown []core.VMName `json:"unknown"`
}

// newStatus returns the command that shows the generation in force on each VM.
func (a *app) newStatus() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the generation in force on each VM",
		Long: `Show the generation in force on each VM, and list the VMs that have an older one.

With --platform the status comes from the objects that the zones write to the platform, with --vm from
what that VM has received from its peers.`,
		Example: "  mangoweir status --vm http://127.2.11.1:8080",
		Args:    cobra.NoArgs,
	}
	a.addRemoteFlags(cmd)
	format := addOutputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := a.remote.client()
		if err != nil {
			return err
		}
		read := platformStatus
		if a.remote.vm != "" {
			read = vmStatus
		}
		out, err := read(cmd.Context(), client)
		if err != nil {
			return err
		}
		out.summarize()
		return format.print(cmd.OutOrStdout(), out.text(), out)
	}
	return cmd
}

// vmStatus reads the status from an entry VM.
func vmStatus(ctx context.Context, client *platform.Client) (*statusOutput, error) {
	s, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	return &statusOutput{Generation: s.Generation, VMs: s.VMs}, nil
}

// platformStatus reads the status and the member list of each zone from the platform.
func platformStatus(ctx context.Context, client *platform.Client) (*statusOutput, error) {
	inForce, err := readManifest(ctx, client)
	if err != nil {
		return nil, err
	}
	if inForce.Generation == 0 {
		return nil, errNoManifest
	}
	config, err := contract.Decode(inForce.Generation, inForce.Text)
	if err != nil {
		return nil, fmt.Errorf("the manifest in force is invalid, apply a valid one: %s", err)
	}
	out := &statusOutput{Generation: inForce.Generation}
	for _, z := range config.Zones {
		if err := out.addZone(ctx, client, z.Name); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// addZone adds the VMs of a zone, and the members that are missing from its status object.
func (s *statusOutput) addZone(ctx context.Context, client *platform.Client, zone core.ZoneName) error {
	status, err := client.Get(ctx, platform.StatusKey(zone))
	if err != nil {
		return err
	}
	vms, err := platform.DecodeStatus(status.Value)
	if err != nil {
		return err
	}
	list, err := client.Get(ctx, platform.MembersKey(zone))
	if err != nil {
		return err
	}
	members, err := platform.DecodeMembers(list.Value)
	if err != nil {
		return err
	}
	s.VMs = append(s.VMs, vms...)
	for _, m := range members {
		if !slices.ContainsFunc(vms, func(v core.VMStatus) bool { return v.Name == m.Name }) {
			s.Unknown = append(s.Unknown, m.Name)
		}
	}
	return nil
}

// summarize sorts the VMs, determines the newest generation and lists the VMs that have an older one. It
// replaces nil slices with empty ones for the JSON output.
func (s *statusOutput) summarize() {
	slices.SortFunc(s.VMs, func(a, b core.VMStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	for _, v := range s.VMs {
		s.Generation = max(s.Generation, v.Generation)
	}
	s.Lagging = []core.VMName{}
	for _, v := range s.VMs {
		if v.Generation < s.Generation {
			s.Lagging = append(s.Lagging, v.Name)
		}
	}
	s.VMs = append([]core.VMStatus{}, s.VMs...)
	s.Unknown = append([]core.VMName{}, s.Unknown...)
}

func (s *statusOutput) text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tZONE\tSTATE\tGENERATION\tHEARD")
	for _, v := range s.VMs {
		heartbeatAge := time.Duration(v.HeartbeatAgeMillis) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s ago\n", v.Name, v.Zone, v.State, v.Generation, heartbeatAge)
	}
	_ = w.Flush()
	fmt.Fprintf(&b, "generation %d is in force on %d of %d VMs\n", s.Generation,
		len(s.VMs)-len(s.Lagging), len(s.VMs)+len(s.Unknown))
	if len(s.Lagging) > 0 {
		fmt.Fprintf(&b, "lagging: %s\n", joinNames(s.Lagging))
	}
	if len(s.Unknown) > 0 {
		fmt.Fprintf(&b, "without status: %s\n", joinNames(s.Unknown))
	}
	return b.String()
}

func joinNames(names []core.VMName) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return strings.Join(out, ", ")
}
