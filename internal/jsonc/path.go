package jsonc

import (
	"strconv"
	"strings"
)

// Path is the location of a value in a document. Its elements are field names and indexes, from the
// root to the value.
type Path []string

// Field returns the path extended by a field name.
func (p Path) Field(name string) Path {
	return append(p[:len(p):len(p)], name)
}

// Index returns the path extended by an index.
func (p Path) Index(i int) Path {
	return append(p[:len(p):len(p)], strconv.Itoa(i))
}

// String returns the path in the form services[0].name.
func (p Path) String() string {
	var b strings.Builder
	for i, s := range p {
		if _, err := strconv.Atoi(s); err == nil {
			b.WriteString("[" + s + "]")
			continue
		}
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(s)
	}
	return b.String()
}

// pointer returns the path as an RFC 6901 JSON pointer.
func (p Path) pointer() string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var b strings.Builder
	for _, s := range p {
		b.WriteByte('/')
		b.WriteString(escape.Replace(s))
	}
	return b.String()
}
