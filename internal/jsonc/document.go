package jsonc

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxSize is the size limit of a file in bytes; it equals the platform's limit for a value.
	MaxSize = 1 << 20
	// maxDepth bounds the nesting of values. The parser is recursive, and a file of opening brackets
	// would otherwise exhaust the stack.
	maxDepth = 32
	// maxExcerpt bounds the length of a value that is quoted in a problem, in characters.
	maxExcerpt = 60
	// maxProblems bounds the list of problems, because a file of 1 MiB can have a million of them.
	maxProblems = 1000
)

// Document is a parsed file and the problems found in it so far.
type Document struct {
	file       string
	text       []byte
	root       hujson.Value
	lineStarts []int
	problems   Problems
	// wrongTypes holds the JSON pointers of the values that have a wrong type.
	wrongTypes map[string]bool
	fieldCache map[reflect.Type]*structFields
}

// Parse parses text; file is its name in problems. The error is a *Problems.
func Parse(file string, text []byte) (*Document, error) {
	doc := &Document{file: file, text: text, lineStarts: lineStarts(text),
		wrongTypes: map[string]bool{}, fieldCache: map[reflect.Type]*structFields{}}
	if len(text) > MaxSize {
		doc.addProblem(0, KindTooLarge, "", "", fmt.Sprintf("the file has %d bytes", len(text)),
			fmt.Sprintf("keep it within %d bytes", MaxSize))
		return nil, doc.Err()
	}
	if offset := invalidUTF8Offset(text); offset >= 0 {
		doc.addProblem(offset, KindSyntax, "", "", "the file is not UTF-8 text", "save the file as UTF-8 JSON")
		return nil, doc.Err()
	}
	if offset := tooDeepOffset(text); offset >= 0 {
		doc.addProblem(offset, KindSyntax, "", "", "values are nested too deeply",
			fmt.Sprintf("nest at most %d levels", maxDepth))
		return nil, doc.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		offset, message := doc.syntaxPosition(err)
		doc.addProblem(offset, KindSyntax, "", "", message, "correct the JSON at this position")
		return nil, doc.Err()
	}
	doc.root = root
	return doc, nil
}

// Err returns the problems found so far as a *Problems, or nil.
func (d *Document) Err() error {
	if len(d.problems.List) == 0 {
		return nil
	}
	d.problems.sortByPosition()
	return &d.problems
}

// Report adds a problem of kind KindInvalid with the value at path. When the value is missing, the
// position is that of the innermost existing value on the path.
func (d *Document) Report(path Path, message, remedy string) {
	if len(d.problems.List) >= maxProblems {
		d.problems.Omitted++
		return
	}
	found := ""
	existing := path
	v := d.root.Find(existing.pointer())
	for v == nil && len(existing) > 0 {
		existing = existing[:len(existing)-1]
		v = d.root.Find(existing.pointer())
	}
	if len(existing) == len(path) {
		found = d.excerpt(v)
	}
	d.addProblem(v.StartOffset, KindInvalid, path.String(), found, message, remedy)
}

// HasWrongType reports whether decoding found a value of the wrong type at path, or at a value that
// contains it.
func (d *Document) HasWrongType(path Path) bool {
	for i := range len(path) + 1 {
		if d.wrongTypes[path[:i].pointer()] {
			return true
		}
	}
	return false
}

// Span returns the byte offsets of the start and the end of the value at path.
func (d *Document) Span(path Path) (start, end int, ok bool) {
	v := d.root.Find(path.pointer())
	if v == nil {
		return 0, 0, false
	}
	return v.StartOffset, v.EndOffset, true
}

// addProblem adds a problem at a byte offset.
func (d *Document) addProblem(offset int, kind Kind, field, found, message, remedy string) {
	if len(d.problems.List) >= maxProblems {
		d.problems.Omitted++
		return
	}
	line, column := d.position(offset)
	d.problems.List = append(d.problems.List, Problem{File: d.file, Line: line, Column: column,
		Kind: kind, Field: field, Found: found, Message: message, Remedy: remedy})
}

// position converts a byte offset to a line and column.
func (d *Document) position(offset int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, offset+1)
	lineStart := d.lineStarts[line-1]
	return line, utf8.RuneCount(d.text[lineStart:offset]) + 1
}

// excerpt returns a value as written, on one line and shortened to maxExcerpt characters.
func (d *Document) excerpt(v *hujson.Value) string {
	raw := d.text[v.StartOffset:v.EndOffset]
	if len(raw) > 8*maxExcerpt {
		raw = raw[:8*maxExcerpt]
	}
	excerpt := []rune(strings.Join(strings.Fields(strings.ToValidUTF8(string(raw), "")), " "))
	if len(excerpt) > maxExcerpt {
		return string(excerpt[:maxExcerpt]) + "..."
	}
	return string(excerpt)
}

var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

// syntaxPosition extracts the offset and the message from an error of the parser, which counts columns
// in bytes.
func (d *Document) syntaxPosition(err error) (offset int, message string) {
	match := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 0, err.Error()
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	line = min(max(line, 1), len(d.lineStarts))
	offset = min(d.lineStarts[line-1]+max(column, 1)-1, len(d.text))
	return offset, match[3]
}

func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8, or -1.
func invalidUTF8Offset(text []byte) int {
	if utf8.Valid(text) {
		return -1
	}
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// tooDeepOffset returns the offset of the first bracket that is nested deeper than maxDepth, or -1.
// Brackets in strings and comments do not count.
func tooDeepOffset(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			for i++; i < len(text) && text[i] != '"'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipComment returns the offset of the last byte of the comment at i, or i when there is none.
func skipComment(text []byte, i int) int {
	var end string
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	length := bytes.Index(text[i+2:], []byte(end))
	if length < 0 {
		return len(text)
	}
	return i + 2 + length + len(end) - 1
}
