package load

import (
	"fmt"
	"strings"
)

// ViolationError lists the guarantees whose violation the clients detected.
type ViolationError struct{ Violations []string }

// Error lists the violations.
func (e *ViolationError) Error() string {
	return "load: guarantees were violated: " + strings.Join(e.Violations, ", ")
}

// Violation returns a ViolationError when the clients detected the violation of a guarantee, and nil
// otherwise. Refusals, silence and gaps in feeds alone violate no guarantee.
func (s *Summary) Violation() error {
	var violations []string
	add := func(n uint64, what string) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(s.BrokenFlows, "broken flows")
	add(s.Mismatched, "answers to another request")
	add(s.UploadsMismatched, "uploads with other content")
	if a := s.Audit; a != nil {
		add(uint64(a.DuplicateRuns), "postings run twice")
		add(uint64(a.AnsweredButNotRun), "postings answered that did not run")
		add(uint64(a.RefusedButRan), "postings refused as not run that ran")
	}
	if violations == nil {
		return nil
	}
	return &ViolationError{Violations: violations}
}
