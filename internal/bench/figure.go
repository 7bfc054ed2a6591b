package bench

// Bound is the limit of a figure on the design page.
type Bound struct {
	Limit float64 `json:"limit"`
	// AtLeast is true when higher values are better.
	AtLeast bool `json:"atLeast"`
}

// Met reports whether a value keeps the bound.
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
	// Bound is nil for a figure that is stated and has no bound.
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

// stated returns a figure without a bound.
func stated(name, unit string, value float64) Figure {
	return Figure{Name: name, Unit: unit, Value: value, Met: true}
}

// against sets the baseline measured in the same run.
func (f Figure) against(name string, value float64) Figure {
	f.BaselineName, f.Baseline = name, value
	return f
}

// noted sets the note.
func (f Figure) noted(text string) Figure {
	f.Note = text
	return f
}

// Verdict returns "met", "MISSED", or "stated" when there is no bound.
func (f Figure) Verdict() string {
	switch {
	case f.Bound == nil:
		return "stated"
	case f.Met:
		return "met"
	}
	return "MISSED"
}

// Comparison is one line of the tables that compare variants.
type Comparison struct {
	Topic   string   `json:"topic"`
	Measure string   `json:"measure"`
	Unit    string   `json:"unit"`
	Results []Result `json:"results"`
}

// Result is what one variant showed.
type Result struct {
	Variant string  `json:"variant"`
	Value   float64 `json:"value"`
}
