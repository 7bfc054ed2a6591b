// Package configcheck checks an operators' configuration before it is sent, and compares it with the one in force. It does no I/O. Field
// names in its results are those of package platform.
package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"
)

// Severity tells whether a finding prevents a configuration from being sent.
type Severity string

// Severities. With a warning, the configuration works, but a part of it has no effect or contradicts another one.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Route or Service is the name of the entry, if the finding is about one.
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// Field is the path of the value, such as routes[2].hostname.
	Field string `json:"field,omitempty"`
	// Line and Column count from 1; columns count characters. They are 0 for a configuration that can be decoded.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Text returns the finding on one line that begins with the name of the file.
func (f Finding) Text(file string) string {
	if f.Line > 0 {
		file = fmt.Sprintf("%s:%d:%d", file, f.Line, f.Column)
	}
	parts := []string{file, string(f.Severity)}
	if f.Route != "" {
		parts = append(parts, "route "+f.Route)
	}
	if f.Service != "" {
		parts = append(parts, "service "+f.Service)
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	return strings.Join(append(parts, f.Message), ": ") + "; " + f.Remedy
}

// embeddedNames removes the names of embedded structs, which encoding/json puts into paths although the text does not have them.
var embeddedNames = strings.NewReplacer("ConfigSpec.", "", "RouteSpec.", "")

// descriptions are the values that fields of a kind accept.
var descriptions = map[reflect.Kind]string{
	reflect.String: "a string", reflect.Uint64: "a whole number that is not negative", reflect.Int: "a whole number",
	reflect.Int64: "a whole number", reflect.Float64: "a number", reflect.Slice: "an array", reflect.Struct: "an object",
}

// Undecodable returns the finding for a text that cannot be decoded because of err.
func Undecodable(text []byte, err error) Finding {
	f := Finding{Severity: Error, Message: err.Error(), Remedy: "correct the file"}
	var (
		syntax    *json.SyntaxError
		wrongType *json.UnmarshalTypeError
	)
	switch {
	case errors.As(err, &syntax):
		f.Line, f.Column = position(text, syntax.Offset)
		f.Remedy = "correct the JSON at this position"
	case errors.As(err, &wrongType):
		f.Line, f.Column = position(text, wrongType.Offset)
		f.Field, f.Message = embeddedNames.Replace(wrongType.Field), "the value has the wrong type, found "+wrongType.Value
		f.Remedy = "give " + descriptions[wrongType.Type.Kind()]
	}
	return f
}

// position returns the line and column of the last byte that the decoder had read at an offset.
func position(text []byte, offset int64) (line, column int) {
	before := text[:min(max(offset-1, 0), int64(len(text)))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[start:]) + 1
}
