// Command soak runs real forwarder processes under random faults and checks the observations of clients and
// targets. Its exit code is 1 when a rule was violated or a run failed, and 2 for a usage error.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mangoweir/mangoweir/internal/soak"
	"github.com/mangoweir/mangoweir/internal/standin/fleet"
)

func main() {
	var (
		binary   = flag.String("binary", "bin/mangoweir", "path of the program to run")
		dir      = flag.String("dir", filepath.Join(os.TempDir(), "mangoweir-soak"), "directory for settings and logs")
		seed     = flag.Uint64("seed", 1, "first seed")
		seeds    = flag.Int("seeds", 1, "number of seeds, counted up from the first")
		parallel = flag.Int("parallel", 1, "number of seeds run at the same time")
		length   = flag.Duration("length", 25*time.Second, "length of a run")
		vms      = flag.Int("vms", 3, "VMs in each of three zones")
		restores = flag.Int("restores", 0, "number of times in a run that the store is restored from an earlier copy")
		full     = flag.Int("full", 4, "number of times in a run that some targets become full")
		verbose  = flag.Bool("v", false, "print each fault as it begins")
	)
	flag.Parse()
	var g errgroup.Group
	g.SetLimit(*parallel)
	results := make([]*soak.Result, *seeds)
	for i := range *seeds {
		g.Go(func() error {
			options := fleet.Options{
				Binary: *binary, Dir: filepath.Join(*dir, fmt.Sprint(*seed+uint64(i))),
				Zones: 3, VMs: *vms, Targets: 5, Clients: 60, Seed: *seed + uint64(i),
			}
			if err := os.MkdirAll(options.Dir, 0o755); err != nil {
				return err
			}
			progress, err := os.Create(filepath.Join(options.Dir, "events.log"))
			if err != nil {
				return err
			}
			defer progress.Close()
			if *verbose {
				progress = os.Stdout
			}
			results[i], err = soak.Run(options, *length, soak.Extra{Restores: *restores, Full: *full}, progress)
			if err == nil {
				fmt.Printf("seed %d: %d violations, outcomes %v\n", options.Seed, len(results[i].Violations), results[i].Outcomes)
			}
			return err
		})
	}
	err := g.Wait()
	violated := report(results)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if violated > 0 || err != nil {
		os.Exit(1)
	}
}

// report prints the events and violations of each run with violations, and returns the number of these runs.
func report(results []*soak.Result) int {
	violated, finished := 0, 0
	for _, result := range results {
		if result == nil {
			continue
		}
		finished++
		if len(result.Violations) == 0 {
			continue
		}
		violated++
		fmt.Printf("\nseed %d\n", result.Seed)
		for _, e := range result.Plan {
			fmt.Printf("  %s\n", e)
		}
		for _, v := range result.Violations {
			fmt.Printf("! %s\n", v)
		}
	}
	fmt.Printf("\n%d of %d seeds with violations\n", violated, finished)
	return violated
}
