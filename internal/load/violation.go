package load

import (
	"fmt"
	"strings"
)

// ViolationError says which promises callers saw broken.
type ViolationError struct{ Violations []string }

// Error lists the broken promises.
func (e *ViolationError) Error() string {
	return "load: promises were broken: " + strings.Join(e.Violations, ", ")
}

// Violation returns a ViolationError when callers saw a promise broken, and nil otherwise. Refusals,
// silence and gaps in feeds break no promise by themselves.
func (s *Summary) Violation() error {
	var broken []string
	add := func(n uint64, what string) {
		if n > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(s.BrokenFlows, "broken flows")
	add(s.Mismatched, "answers to another request")
	add(s.UploadsMismatched, "uploads with other content")
	if a := s.Audit; a != nil {
		add(uint64(a.DuplicateRuns), "postings run twice")
		add(uint64(a.AnsweredButNotRun), "postings answered and not run")
		add(uint64(a.RefusedButRan), "postings refused as not run and run")
	}
	if broken == nil {
		return nil
	}
	return &ViolationError{Violations: broken}
}
