package capacity

import (
	"math"
	"slices"
)

// Point is a measurement: a size and the cost at that size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a least-squares line through the points of a series.
type Fit struct {
	// Slope is the cost per unit of size, and StdErr is the standard error of the slope.
	Slope  float64 `json:"slope"`
	StdErr float64 `json:"stdErr"`
	// Intercept is the cost at size 0.
	Intercept float64 `json:"intercept"`
	// R2 is the share of the variance that the line explains, or 1 when all costs are equal.
	R2 float64 `json:"r2"`
	// Exponent is the slope between the smallest and the largest size on logarithmic scales: 0 for a
	// constant cost, 1 for a proportional one, 2 for a quadratic one. It is 0 when the smallest size or
	// the cost at either size is not positive.
	Exponent float64 `json:"exponent"`
}

// minPoints is the number of points that are needed for a standard error.
const minPoints = 3

// FitLine fits a line. It returns false when there are fewer than three points or all sizes are equal.
func FitLine(points []Point) (Fit, bool) {
	n := float64(len(points))
	if len(points) < minPoints {
		return Fit{}, false
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
		syy += (p.Y - meanY) * (p.Y - meanY)
	}
	if sxx == 0 {
		return Fit{}, false
	}
	f := Fit{Slope: sxy / sxx, R2: 1, Exponent: exponent(points)}
	f.Intercept = meanY - f.Slope*meanX
	var residual float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		residual += d * d
	}
	f.StdErr = math.Sqrt(residual / (n - 2) / sxx)
	if syy > 0 {
		f.R2 = 1 - residual/syy
	}
	return f, true
}

// At returns the cost on the line at a size.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

func exponent(points []Point) float64 {
	bySize := func(a, b Point) int {
		switch {
		case a.X < b.X:
			return -1
		case a.X > b.X:
			return 1
		}
		return 0
	}
	first, last := slices.MinFunc(points, bySize), slices.MaxFunc(points, bySize)
	if first.X <= 0 || first.Y <= 0 || last.Y <= 0 {
		return 0
	}
	return math.Log(last.Y/first.Y) / math.Log(last.X/first.X)
}
