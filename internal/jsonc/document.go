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
	// maxDepth bounds the nesting of values. The parser recurses, and a file of opening brackets
	// would otherwise exhaust the stack.
	maxDepth = 32
	// maxFound bounds the length of a value quoted in a problem, in characters.
	maxFound = 60
	// maxProblems bounds the problems listed, as a megabyte can hold a million of them.
	maxProblems = 1000
)

// Document is a parsed file and the problems found in it so far.
type Document struct {
	file       string
	text       []byte
	root       hujson.Value
	lineStarts []int
	problems   Problems
	// failed holds the pointers of the values of a wrong type.
	failed map[string]bool
	fields map[reflect.Type]*structFields
}

// Parse parses text; file names it in problems. The error is a *Problems.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{file: file, text: text, lineStarts: lineStarts(text),
		failed: map[string]bool{}, fields: map[reflect.Type]*structFields{}}
	if len(text) > MaxSize {
		d.addAt(0, KindTooLarge, "", "", fmt.Sprintf("the file has %d bytes", len(text)),
			fmt.Sprintf("keep it within %d bytes", MaxSize))
		return nil, d.Err()
	}
	if off := invalidUTF8(text); off >= 0 {
		d.addAt(off, KindSyntax, "", "", "the file is no UTF-8 text", "save the file as UTF-8 JSON")
		return nil, d.Err()
	}
	if off := tooDeep(text); off >= 0 {
		d.addAt(off, KindSyntax, "", "", "values are nested too deeply",
			fmt.Sprintf("nest at most %d levels", maxDepth))
		return nil, d.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		off, message := d.syntaxPosition(err)
		d.addAt(off, KindSyntax, "", "", message, "correct the JSON at this position")
		return nil, d.Err()
	}
	d.root = root
	return d, nil
}

// Err returns the problems found so far as a *Problems, or nil.
func (d *Document) Err() error {
	if len(d.problems.List) == 0 {
		return nil
	}
	d.problems.sortByPosition()
	return &d.problems
}

// Report adds a problem of kind KindInvalid with the value that path leads to. When the value is
// missing, the position is that of the innermost object that exists.
func (d *Document) Report(path Path, message, remedy string) {
	if len(d.problems.List) >= maxProblems {
		d.problems.Omitted++
		return
	}
	found := ""
	ptr := path
	v := d.root.Find(ptr.pointer())
	for v == nil && len(ptr) > 0 {
		ptr = ptr[:len(ptr)-1]
		v = d.root.Find(ptr.pointer())
	}
	if len(ptr) == len(path) {
		found = d.excerpt(v)
	}
	d.addAt(v.StartOffset, KindInvalid, path.String(), found, message, remedy)
}

// HasWrongType reports whether decoding found a value of the wrong type at path or around it.
func (d *Document) HasWrongType(path Path) bool {
	for i := range len(path) + 1 {
		if d.failed[path[:i].pointer()] {
			return true
		}
	}
	return false
}

// Span returns the byte offsets of the value that path leads to.
func (d *Document) Span(path Path) (start, end int, ok bool) {
	v := d.root.Find(path.pointer())
	if v == nil {
		return 0, 0, false
	}
	return v.StartOffset, v.EndOffset, true
}

// addAt adds a problem at a byte offset.
func (d *Document) addAt(off int, kind Kind, field, found, message, remedy string) {
	if len(d.problems.List) >= maxProblems {
		d.problems.Omitted++
		return
	}
	line, column := d.position(off)
	d.problems.List = append(d.problems.List, Problem{File: d.file, Line: line, Column: column,
		Kind: kind, Field: field, Found: found, Message: message, Remedy: remedy})
}

// position converts a byte offset to a line and column.
func (d *Document) position(off int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, off+1)
	start := d.lineStarts[line-1]
	return line, utf8.RuneCount(d.text[start:off]) + 1
}

// excerpt returns a value as written, on one line and shortened.
func (d *Document) excerpt(v *hujson.Value) string {
	raw := d.text[v.StartOffset:v.EndOffset]
	if len(raw) > 8*maxFound {
		raw = raw[:8*maxFound]
	}
	s := []rune(strings.Join(strings.Fields(strings.ToValidUTF8(string(raw), "")), " "))
	if len(s) > maxFound {
		return string(s[:maxFound]) + "..."
	}
	return string(s)
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

// syntaxPosition takes the position from an error of the parser, which counts columns in bytes.
func (d *Document) syntaxPosition(err error) (off int, message string) {
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		return 0, err.Error()
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	line = min(max(line, 1), len(d.lineStarts))
	off = min(d.lineStarts[line-1]+max(column, 1)-1, len(d.text))
	return off, m[3]
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

// invalidUTF8 returns the offset of the first byte that is no UTF-8, or -1.
func invalidUTF8(text []byte) int {
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

// tooDeep returns the offset of the first bracket beyond maxDepth, or -1. Brackets in strings and
// comments do not count.
func tooDeep(text []byte) int {
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
	n := bytes.Index(text[i+2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}
