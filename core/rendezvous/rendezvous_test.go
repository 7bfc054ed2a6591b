package rendezvous

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against hashing that moves keys between the remaining candidates when one is removed, or that ignores
// weights.
func TestPick(t *testing.T) {
	Convey("Given ten candidates", t, func() {
		hashes := make([]uint64, 10)
		weights := make([]float64, 10)
		for i := range hashes {
			hashes[i] = Mix(uint64(i), 7)
			weights[i] = 1
		}
		const keys = 20000
		Convey("removing one moves only the keys that were on it", func() {
			for k := range uint64(keys) {
				key := Mix(k, 99)
				before := Pick(key, hashes, weights)
				after := Pick(key, hashes[:9], weights[:9])
				if before != 9 && before != after {
					t.Fatalf("key %d moved from %d to %d", k, before, after)
				}
			}
		})
		Convey("a candidate of half weight gets about half the keys of another", func() {
			weights[3] = 0.5
			var n [10]int
			for k := range uint64(keys) {
				n[Pick(Mix(k, 99), hashes, weights)]++
			}
			So(float64(n[3])/float64(n[4]), ShouldBeBetween, 0.4, 0.6)
		})
		Convey("the first in order is one of the candidates", func() {
			for k := range uint64(100) {
				So(Order(Mix(k, 5), hashes)[0], ShouldBeIn, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
			}
		})
	})
}
