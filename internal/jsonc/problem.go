package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of a fault in a file.
type Kind string

// Kinds of faults.
const (
	// KindTooLarge: the file exceeds MaxSize.
	KindTooLarge Kind = "too-large"
	// KindSyntax: the file is not JSON, even with comments and trailing commas allowed, not UTF-8, or
	// nested too deeply.
	KindSyntax Kind = "syntax"
	// KindUnknownField: an object has a field that is not defined.
	KindUnknownField Kind = "unknown-field"
	// KindDuplicateKey: an object has the same field twice.
	KindDuplicateKey Kind = "duplicate-key"
	// KindWrongType: a value has the wrong JSON type or does not parse.
	KindWrongType Kind = "wrong-type"
	// KindInvalid: a value has the right type but violates a rule.
	KindInvalid Kind = "invalid"
)

// Problem is one fault in a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; columns count characters.
	Line   int  `json:"line"`
	Column int  `json:"column"`
	Kind   Kind `json:"kind"`
	// Field is the path of the value, such as services[0].name; empty for the whole file.
	Field string `json:"field,omitempty"`
	// Found is the value as written in the file, shortened to maxExcerpt characters.
	Found   string `json:"found,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	if p.Found != "" {
		fmt.Fprintf(&b, ", found %s", p.Found)
	}
	fmt.Fprintf(&b, "; %s", p.Remedy)
	return b.String()
}

// Problems is the error of a file with at least one fault, in order of position.
type Problems struct {
	List []Problem
	// Omitted is the number of further problems, which List does not contain.
	Omitted int
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i := range p.List {
		lines[i] = p.List[i].Error()
	}
	if p.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", p.Omitted))
	}
	return strings.Join(lines, "\n")
}

// sortByPosition orders the problems as they appear in the file.
func (p *Problems) sortByPosition() {
	slices.SortStableFunc(p.List, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}
