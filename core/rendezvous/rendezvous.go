// Package rendezvous implements weighted rendezvous (highest random weight) hashing. All functions
// are pure and return equal results on all VMs.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Mix combines two hashes into a well-distributed 64-bit value.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// HashString returns the 64-bit hash of a name.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

// score returns the weighted score of a candidate from its hash; the candidate with the highest score is
// chosen.
func score(h uint64, weight float64) float64 {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(u)
}

// Pick returns the index of the candidate with the highest score for key, or -1 when no weight is positive.
// Candidates are given by their hashes; nil weights mean equal weights.
func Pick(key uint64, hashes []uint64, weights []float64) int {
	best, bestScore := -1, 0.0
	for i, h := range hashes {
		w := 1.0
		if weights != nil {
			w = weights[i]
		}
		if w <= 0 {
			continue
		}
		if s := score(Mix(key, h), w); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Order returns the indexes of the candidates for key, the highest score first, with equal weights.
func Order(key uint64, hashes []uint64) []int {
	order := make([]int, len(hashes))
	scores := make([]uint64, len(hashes))
	for i, h := range hashes {
		scores[i] = Mix(key, h)
		j := i
		for ; j > 0 && scores[order[j-1]] < scores[i]; j-- {
			order[j] = order[j-1]
		}
		order[j] = i
	}
	return order
}
