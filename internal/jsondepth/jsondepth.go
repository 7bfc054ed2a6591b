// Package jsondepth limits the depth of JSON texts, so that a part that is nested too deep for encoding/json does not keep the
// rest from being decoded.
package jsondepth

import "bytes"

// Limit returns the text with each array and object that is nested deeper than depth levels replaced by null. It does not check
// that the text is valid; the result of an invalid one may be invalid, too.
func Limit(text []byte, depth int) []byte {
	out := make([]byte, 0, len(text))
	level, kept := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '[', '{':
			if level++; level == depth+1 {
				out = append(append(out, text[kept:i]...), "null"...)
			}
		case ']', '}':
			if level--; level == depth {
				kept = i + 1
			}
		}
	}
	if level > depth {
		return out
	}
	return append(out, text[kept:]...)
}

// stringEnd returns the index of the quote that ends the string which begins at a quote, or of the last byte.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		next := bytes.IndexAny(text[i:], `"\`)
		if next < 0 {
			break
		}
		if i += next; text[i] == '"' {
			return i
		}
		// The escaped byte follows.
		i++
	}
	return len(text) - 1
}
