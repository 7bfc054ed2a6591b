package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Report is the result of the bench command.
type Report struct {
	Seed uint64 `json:"seed"`
	// Figures are the figures of the design page.
	Figures []Figure `json:"figures"`
	// Comparisons are the tables that compare variants.
	Comparisons []Comparison `json:"comparisons,omitempty"`
	// Violations describes safety violations of the project's core.
	Violations []string `json:"violations,omitempty"`
}

// JSON writes the report as one JSON document.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Text writes the report as tables, with one line per figure and per comparison, and then the violations.
func (r *Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tVALUE\tBOUND\tBASELINE\tVERDICT\tNOTE")
	for _, f := range r.Figures {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s (%s)\t%s\t%s\n", f.Name, quantity(f.Value, f.Unit), f.boundText(),
			number(f.Baseline), f.BaselineName, f.Verdict(), f.Note)
	}
	topic := ""
	for _, c := range r.Comparisons {
		if c.Topic != topic {
			topic = c.Topic
			fmt.Fprintf(t, "\n%s\t\n", c.Topic)
		}
		fmt.Fprintf(t, "  %s\t", c.Measure)
		for _, x := range c.Results {
			fmt.Fprintf(t, "%s: %s\t", x.Variant, quantity(x.Value, c.Unit))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, v)
	}
	return nil
}

func (f Figure) boundText() string {
	switch {
	case f.Bound == nil:
		return "-"
	case f.Bound.AtLeast:
		return ">= " + number(f.Bound.Limit)
	}
	return "<= " + number(f.Bound.Limit)
}

func quantity(v float64, unit string) string {
	if unit == "" {
		return number(v)
	}
	return number(v) + " " + unit
}

// number formats a value with at most three decimals; verdicts use the exact value.
func number(v float64) string {
	return strconv.FormatFloat(float64(int64(v*1000+0.5))/1000, 'f', -1, 64)
}
