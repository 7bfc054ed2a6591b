package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// topicVirtualNodes and topicForwarding head the tables on the related paper (design 8).
const (
	topicVirtualNodes = "Virtual nodes per VM (design 8)"
	topicForwarding   = "Recursive and iterative forwarding of unknown flows (design 8)"
)

// ownershipCase is a zone whose VMs own targets.
type ownershipCase struct{ vms, targets, draws int }

// virtualNodeTable compares the ownership imbalance with 1, 3 and 8 virtual nodes per VM.
func virtualNodeTable(e *Runner) ([]Comparison, error) {
	var list []Comparison
	for _, c := range []ownershipCase{{2, 18, 2000}, {3, 18, 2000}, {600, 3000, 10}} {
		mean := Comparison{Topic: topicVirtualNodes, Unit: "max/mean",
			Measure: fmt.Sprintf("%d targets over %d VMs, mean of %d draws", c.targets, c.vms, c.draws)}
		for _, nodes := range []int{1, 3, 8} {
			mean.Results = append(mean.Results, Result{fmt.Sprintf("%d nodes", nodes), ownership(c, nodes, e.Seed)})
		}
		list = append(list, mean)
	}
	return list, nil
}

// ownership returns the mean of max over mean targets per VM.
func ownership(c ownershipCase, nodes int, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, uint64(c.vms)))
	sum := 0.0
	for range c.draws {
		hashes := virtualNodes(c.vms, nodes, random)
		owned := make([]float64, c.vms)
		for range c.targets {
			owned[rendezvous.Pick(random.Uint64(), hashes, nil)/nodes]++
		}
		top, _ := imbalance(owned)
		sum += top
	}
	return sum / float64(c.draws)
}

// virtualNodes returns the hashes of all virtual nodes; those of one VM follow each other.
func virtualNodes(vms, nodes int, random *rand.Rand) []uint64 {
	hashes := make([]uint64, 0, vms*nodes)
	for range vms {
		vm := random.Uint64()
		for n := range nodes {
			hashes = append(hashes, rendezvous.Mix(vm, uint64(n)))
		}
	}
	return hashes
}

// forwardingCost is the cost of finding the holder of an unknown flow.
type forwardingCost struct{ hops, messages float64 }

// forwardingTable compares passing a request along its candidates with asking each candidate first.
// It draws target sets that changed in turn and the place of each flow, with the project's hashing.
func forwardingTable(e *Runner) ([]Comparison, error) {
	const linkMillis = 1.0
	var list []Comparison
	for _, changes := range []int{1, 4, 16} {
		costs := forwarding(changes, e.Seed)
		for _, m := range []struct {
			name, unit string
			value      func(forwardingCost) float64
		}{
			{"messages", "", func(c forwardingCost) float64 { return c.messages }},
			{"one-way latency before the target gets the request", "ms", func(c forwardingCost) float64 { return c.hops * linkMillis }},
		} {
			list = append(list, Comparison{Topic: topicForwarding, Unit: m.unit,
				Measure: fmt.Sprintf("%d changes of the target set: %s", changes, m.name),
				Results: []Result{{"recursive", m.value(costs.recursive)}, {"iterative, in turn", m.value(costs.iterative)},
					{"iterative, all at once", m.value(costs.parallel)}}})
		}
	}
	return list, nil
}

// forwarding returns the mean costs for a flow that arrived before a random one of the changes.
func forwarding(changes int, seed uint64) searchCosts {
	const vms, targets, flows = 8, 14, 20000
	random := rand.New(rand.NewPCG(seed, uint64(changes)))
	sets := changedSets(targets, changes, random)
	var sum searchCosts
	for range flows {
		flow := random.Uint64()
		born := random.IntN(len(sets))
		candidates, at := candidatesOf(flow, sets, born)
		ingress := random.IntN(vms)
		c := searchCost(ingress, candidates, at, vms)
		sum.recursive.add(c.recursive)
		sum.iterative.add(c.iterative)
		sum.parallel.add(c.parallel)
	}
	sum.recursive.divide(flows)
	sum.iterative.divide(flows)
	sum.parallel.divide(flows)
	return sum
}

// changedSets returns target sets in order of time; each replaces one target by a new one.
func changedSets(targets, changes int, random *rand.Rand) [][]uint64 {
	set := make([]uint64, targets)
	for i := range set {
		set[i] = random.Uint64()
	}
	sets := [][]uint64{set}
	for range changes {
		set = append([]uint64(nil), set...)
		set[random.IntN(targets)] = random.Uint64()
		sets = append(sets, set)
	}
	return sets
}

// candidatesOf returns the flow's distinct primaries, oldest first, and the index of the one that
// holds the flow.
func candidatesOf(flow uint64, sets [][]uint64, born int) (candidates []uint64, at int) {
	holder := sets[born][rendezvous.Pick(flow, sets[born], nil)]
	seen := map[uint64]bool{}
	for _, set := range sets {
		c := set[rendezvous.Pick(flow, set, nil)]
		if seen[c] {
			continue
		}
		seen[c] = true
		if c == holder {
			at = len(candidates)
		}
		candidates = append(candidates, c)
	}
	return candidates, at
}

// searchCosts are the costs of three ways to find the owner that has a flow.
type searchCosts struct {
	// recursive: each owner passes the request on to the next candidate.
	recursive forwardingCost
	// iterative: the ingress VM asks one owner after the other, and then sends the request.
	iterative forwardingCost
	// parallel: the ingress VM asks all owners at the same time, and then sends the request.
	parallel forwardingCost
}

// searchCost returns the costs of finding the flow at the candidate with index at. Messages within
// a VM are free.
func searchCost(ingress int, candidates []uint64, at, vms int) searchCosts {
	var c searchCosts
	from := ingress
	asked := false
	for i, id := range candidates {
		owner := int(rendezvous.Mix(id, 1) % uint64(vms))
		if owner != ingress {
			c.parallel.messages += 2
			asked = true
		}
		if i > at {
			continue
		}
		if owner != from {
			c.recursive.add(forwardingCost{1, 1})
		}
		from = owner
		if owner != ingress {
			c.iterative.add(forwardingCost{2, 2})
		}
	}
	if asked {
		c.parallel.hops += 2
	}
	if from != ingress {
		c.iterative.add(forwardingCost{1, 1})
		c.parallel.add(forwardingCost{1, 1})
	}
	return c
}

func (c *forwardingCost) add(x forwardingCost) {
	c.hops += x.hops
	c.messages += x.messages
}

func (c *forwardingCost) divide(n float64) {
	c.hops /= n
	c.messages /= n
}
