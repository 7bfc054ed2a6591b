package capacity

import (
	"math"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestFitLine guards against wrong slopes and standard errors. docs/CAPACITY.md multiplies them by the planned
// size.
func TestFitLine(t *testing.T) {
	convey.Convey("An exact line has no error", t, func() {
		f, ok := FitLine([]Point{{1, 5}, {2, 8}, {4, 14}})
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Slope, convey.ShouldAlmostEqual, 3, 1e-12)
		convey.So(f.Intercept, convey.ShouldAlmostEqual, 2, 1e-12)
		convey.So(f.StdErr, convey.ShouldAlmostEqual, 0, 1e-12)
		convey.So(f.R2, convey.ShouldAlmostEqual, 1, 1e-12)
		convey.So(f.At(10), convey.ShouldAlmostEqual, 32, 1e-9)
	})
	convey.Convey("Points off the line give the standard error of the textbook formula", t, func() {
		// Residuals of y = 0.6x + 2.2 are -0.8, 0.6, 1, -0.6, -0.2; their squares sum to 2.4.
		f, _ := FitLine([]Point{{1, 2}, {2, 4}, {3, 5}, {4, 4}, {5, 5}})
		convey.So(f.Slope, convey.ShouldAlmostEqual, 0.6, 1e-12)
		convey.So(f.Intercept, convey.ShouldAlmostEqual, 2.2, 1e-12)
		convey.So(f.StdErr, convey.ShouldAlmostEqual, math.Sqrt(2.4/3/10), 1e-12)
		convey.So(f.R2, convey.ShouldAlmostEqual, 0.6, 1e-12)
	})
	convey.Convey("A quadratic cost has exponent 2 in any order of the points", t, func() {
		f, _ := FitLine([]Point{{8, 64}, {2, 4}, {4, 16}})
		convey.So(f.Exponent, convey.ShouldAlmostEqual, 2, 1e-12)
	})
	convey.Convey("A constant cost has slope 0", t, func() {
		f, _ := FitLine([]Point{{1, 7}, {2, 7}, {3, 7}})
		convey.So(f.Slope, convey.ShouldEqual, 0)
		convey.So(f.R2, convey.ShouldEqual, 1)
	})
	convey.Convey("No line is fitted to two points or to equal sizes", t, func() {
		_, ok := FitLine([]Point{{1, 1}, {2, 2}})
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = FitLine([]Point{{1, 1}, {1, 2}, {1, 3}})
		convey.So(ok, convey.ShouldBeFalse)
	})
}
