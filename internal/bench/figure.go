package bench

// Bound is the limit that the design page sets for a figure.
type Bound struct {
	Limit float64 `json:"limit"`
	// AtLeast makes the limit a lower bound; otherwise it is an upper bound.
	AtLeast bool `json:"atLeast"`
}

// Met reports whether a value is within the bound. A value equal to the limit is.
func (b Bound) Met(value float64) bool {
	if b.AtLeast {
		return value >= b.Limit
	}
	return value <= b.Limit
}

// Figure is one line of the report.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Bound is nil for a figure that has no bound.
	Bound        *Bound  `json:"bound,omitempty"`
	Baseline     float64 `json:"baseline"`
	BaselineName string  `json:"baselineName"`
	Met          bool    `json:"met"`
	Note         string  `json:"note,omitempty"`
}

// atMost returns a figure with an upper bound.
func atMost(name, unit string, limit, value float64) Figure {
	return bounded(name, unit, Bound{Limit: limit}, value)
}

// atLeast returns a figure with a lower bound.
func atLeast(name, unit string, limit, value float64) Figure {
	return bounded(name, unit, Bound{Limit: limit, AtLeast: true}, value)
}

func bounded(name, unit string, b Bound, value float64) Figure {
	return Figure{Name: name, Unit: unit, Value: value, Bound: &b, Met: b.Met(value)}
}

// unbounded returns a figure without a bound.
func unbounded(name, unit string, value float64) Figure {
	return Figure{Name: name, Unit: unit, Value: value, Met: true}
}

// withBaseline sets the name and the value of the baseline.
func (f Figure) withBaseline(name string, value float64) Figure {
	f.BaselineName, f.Baseline = name, value
	return f
}

// withNote sets the note.
func (f Figure) withNote(text string) Figure {
	f.Note = text
	return f
}

// Verdict returns "met" or "MISSED", or "stated" for a figure without a bound.
func (f Figure) Verdict() string {
	switch {
	case f.Bound == nil:
		return "stated"
	case f.Met:
		return "met"
	}
	return "MISSED"
}

// Comparison is one line of a table that compares variants.
type Comparison struct {
	Topic   string   `json:"topic"`
	Measure string   `json:"measure"`
	Unit    string   `json:"unit"`
	Results []Result `json:"results"`
}

// Result is the value that was measured for one variant.
type Result struct {
	Variant string  `json:"variant"`
	Value   float64 `json:"value"`
}
