package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// topicVirtualNodes and topicForwarding are the headings of the tables on the related paper, which section 8
// of the design page discusses.
const (
	topicVirtualNodes = "Virtual nodes per VM (design 8)"
	topicForwarding   = "Recursive and iterative forwarding of unknown flows (design 8)"
)

// ownershipCase is a zone with VMs and targets. The hashes that decide which VM owns a target are drawn at
// random, draws times.
type ownershipCase struct{ vms, targets, draws int }

// virtualNodeTable compares the imbalance of ownership with 1, 3 and 8 virtual nodes per VM.
func virtualNodeTable(runner *Runner) ([]Comparison, error) {
	var list []Comparison
	for _, c := range []ownershipCase{{2, 18, 2000}, {3, 18, 2000}, {600, 3000, 10}} {
		mean := Comparison{Topic: topicVirtualNodes, Unit: "max/mean",
			Measure: fmt.Sprintf("%d targets over %d VMs, mean of %d draws", c.targets, c.vms, c.draws)}
		for _, nodes := range []int{1, 3, 8} {
			mean.Results = append(mean.Results, Result{fmt.Sprintf("%d nodes", nodes), ownershipImbalance(c, nodes, runner.Seed)})
		}
		list = append(list, mean)
	}
	return list, nil
}

// ownershipImbalance returns the ratio of the largest to the mean number of targets per VM, as the mean over
// all draws.
func ownershipImbalance(c ownershipCase, nodes int, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, uint64(c.vms)))
	sum := 0.0
	for range c.draws {
		hashes := virtualNodes(c.vms, nodes, random)
		owned := make([]float64, c.vms)
		for range c.targets {
			owned[rendezvous.Pick(random.Uint64(), hashes, nil)/nodes]++
		}
		maxOverMean, _ := imbalance(owned)
		sum += maxOverMean
	}
	return sum / float64(c.draws)
}

// virtualNodes returns the hashes of all virtual nodes. The nodes of a VM are adjacent in the list.
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

// forwardingCost is the cost of finding the owner of an unknown flow's target.
type forwardingCost struct{ hops, messages float64 }

// forwardingTable compares recursive forwarding, in which the owners of candidates pass a request on, with
// iterative forwarding, in which the ingress VM queries these owners first. It draws a sequence of target
// sets and the target of each flow, with the project's hashing.
func forwardingTable(runner *Runner) ([]Comparison, error) {
	const linkMillis = 1.0
	var list []Comparison
	for _, changes := range []int{1, 4, 16} {
		costs := meanSearchCosts(changes, runner.Seed)
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

// meanSearchCosts returns the mean costs for flows that arrived at a random point of the sequence of changes.
func meanSearchCosts(changes int, seed uint64) searchCosts {
	const vms, targets, flows = 8, 14, 20000
	random := rand.New(rand.NewPCG(seed, uint64(changes)))
	sets := changedSets(targets, changes, random)
	var sum searchCosts
	for range flows {
		flow := random.Uint64()
		setIndex := random.IntN(len(sets))
		candidates, targetIndex := candidatesOf(flow, sets, setIndex)
		ingress := random.IntN(vms)
		c := costsOfSearch(ingress, candidates, targetIndex, vms)
		sum.recursive.add(c.recursive)
		sum.iterative.add(c.iterative)
		sum.parallel.add(c.parallel)
	}
	sum.recursive.divide(flows)
	sum.iterative.divide(flows)
	sum.parallel.divide(flows)
	return sum
}

// changedSets returns target sets in chronological order. Each replaces one target of the set before it by a
// new one.
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

// candidatesOf returns the distinct targets that the flow hashes to in the sets, oldest first, and the index
// of the candidate that has the flow. This is the target that the flow hashes to in the set at setIndex.
func candidatesOf(flow uint64, sets [][]uint64, setIndex int) (candidates []uint64, targetIndex int) {
	target := sets[setIndex][rendezvous.Pick(flow, sets[setIndex], nil)]
	seen := map[uint64]bool{}
	for _, set := range sets {
		c := set[rendezvous.Pick(flow, set, nil)]
		if seen[c] {
			continue
		}
		seen[c] = true
		if c == target {
			targetIndex = len(candidates)
		}
		candidates = append(candidates, c)
	}
	return candidates, targetIndex
}

// searchCosts holds the costs of three ways to find the owner of a flow's target.
type searchCosts struct {
	// recursive: each owner that does not have the flow passes the request on to the next candidate's owner.
	recursive forwardingCost
	// iterative: the ingress VM queries one owner after the other, and then sends the request.
	iterative forwardingCost
	// parallel: the ingress VM queries all owners at the same time, and then sends the request.
	parallel forwardingCost
}

// costsOfSearch returns the costs of finding the flow at the candidate with index targetIndex. Messages
// within a VM cost nothing.
func costsOfSearch(ingress int, candidates []uint64, targetIndex, vms int) searchCosts {
	var c searchCosts
	from := ingress
	queried := false
	for i, id := range candidates {
		owner := int(rendezvous.Mix(id, 1) % uint64(vms))
		if owner != ingress {
			c.parallel.messages += 2
			queried = true
		}
		if i > targetIndex {
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
	if queried {
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
