package linkload

import (
	"math"
	"testing"
)

const uploadBytes = 80_000

// Guards against routes that are taken for uploads because of a few large requests, and against upload routes that are not found
// because of a few small ones.
func TestRouteStatsFollowMedian(t *testing.T) {
	for _, c := range []struct {
		name  string
		sizes []int
		want  bool
	}{
		{"no requests", nil, false},
		{"two large requests", []int{uploadBytes, uploadBytes}, false},
		{"three large requests", []int{uploadBytes, uploadBytes, uploadBytes}, true},
		{"exactly one window", []int{19_200, 19_200, 19_200}, false},
		{"one byte above one window", []int{19_201, 19_201, 19_201}, true},
		{"two of three large", []int{19_201, 100, 19_201}, true},
		{"one of three large", []int{math.MaxInt, 100, 100}, false},
		{"one of two large", []int{uploadBytes, 100, uploadBytes, 100}, false},
		{"sizes that are not positive", []int{uploadBytes, uploadBytes, 0, -1, math.MinInt}, false},
		{"ignored sizes among large ones", []int{uploadBytes, 0, uploadBytes, -1, uploadBytes}, true},
	} {
		var s RouteStats
		for _, size := range c.sizes {
			s.AddRequest(size)
		}
		if s.Large() != c.want {
			t.Errorf("%s: Large is %v, want %v", c.name, s.Large(), c.want)
		}
	}
}

// Guards against a route that keeps its old class after its requests have changed, however many there were before.
func TestRouteStatsFollowChange(t *testing.T) {
	var s RouteStats
	for _, size := range []int{uploadBytes, 400, uploadBytes} {
		for range 10_000 {
			s.AddRequest(size)
		}
		n := 0
		for before := s.Large(); s.Large() == before && n < 1000; n++ {
			s.AddRequest(uploadBytes + 400 - size)
		}
		if n > statsWindow {
			t.Errorf("%d requests until a change from %d bytes is followed, want at most %d", n, size, statsWindow)
		}
	}
}
