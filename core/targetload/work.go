package targetload

import "time"

const (
	// maxTook bounds a single response time; no route has a timeout near it.
	maxTook = time.Minute
	// workRise is the factor by which a response above the estimate raises it: 200 of them, 10 s of overload at 20 responses
	// per second, raise it 1.58 times.
	workRise = 1.0023
	// workFall is 1/workRise^3, so that the estimate rests where a quarter of the responses are below it.
	workFall = 1 / (workRise * workRise * workRise)
	// workRun is the number of consecutive responses below the estimate after which it falls to the largest of them. At the
	// 0.25 quantile such a run has a probability of 1/256.
	workRun = 4
	// workFirst is the number of responses of the first estimate.
	workFirst = 3
)

// WorkEstimator learns the service time of a route's requests, which is the time that a request takes at a target without a queue,
// as the 0.25 quantile of the response times. The zero value is ready.
type WorkEstimator struct {
	estimate float64 // nanoseconds
	count    int     // up to workFirst
	run      int     // consecutive values below the estimate
	runMax   float64
}

// Add takes the time of a response. It ignores times that are not positive.
func (w *WorkEstimator) Add(took time.Duration) {
	if took <= 0 {
		return
	}
	value := float64(min(took, maxTook))
	if w.count < workFirst {
		if w.count == 0 || value < w.estimate {
			w.estimate = value
		}
		w.count++
		return
	}
	if value >= w.estimate {
		w.run, w.runMax = 0, 0
		w.estimate = min(w.estimate*workRise, float64(maxTook))
		return
	}
	w.run, w.runMax = w.run+1, max(w.runMax, value)
	w.estimate = max(w.estimate*workFall, 1)
	if w.run >= workRun {
		w.estimate = min(w.estimate, w.runMax)
		w.run, w.runMax = 0, 0
	}
}

// Work returns the estimate, 0 until there are 3 responses.
func (w *WorkEstimator) Work() time.Duration {
	if w.count < workFirst {
		return 0
	}
	return time.Duration(w.estimate)
}
