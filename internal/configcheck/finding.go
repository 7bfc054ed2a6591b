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

// Severities.
const (
	// Error is a fault: forwarders cannot read the configuration, or part of it has no effect that an operator can have meant.
	Error Severity = "error"
	// Warning is a part without effect, or a contradiction between limits, with which the configuration still works.
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

// String returns the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	}
	fmt.Fprintf(&b, "%s: ", f.Severity)
	if f.Route != "" {
		fmt.Fprintf(&b, "route %s: ", f.Route)
	}
	if f.Service != "" {
		fmt.Fprintf(&b, "service %s: ", f.Service)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	fmt.Fprintf(&b, "%s; %s", f.Message, f.Remedy)
	return b.String()
}

// embeddedNames removes the names of embedded structs, which encoding/json puts into paths although the text does not have them.
var embeddedNames = strings.NewReplacer("ConfigSpec.", "", "RouteSpec.", "")

// Undecodable returns the finding for a text that platform.DecodeCheckedConfig refuses with err.
func Undecodable(text []byte, err error) Finding {
	f := Finding{Severity: Error, Message: err.Error(), Remedy: "correct the JSON at this position"}
	var (
		syntax    *json.SyntaxError
		wrongType *json.UnmarshalTypeError
	)
	switch {
	case errors.As(err, &syntax):
		f.Line, f.Column = position(text, syntax.Offset)
	case errors.As(err, &wrongType):
		f.Line, f.Column = position(text, wrongType.Offset)
		f.Field, f.Message = embeddedNames.Replace(wrongType.Field), "the value has the wrong type, found "+wrongType.Value
		f.Remedy = "give " + kindDescription(wrongType.Type.Kind())
	default:
		f.Remedy = "give a configuration, or an object with meta and spec"
	}
	return f
}

// position returns the line and column of the last byte that the decoder had read at an offset.
func position(text []byte, offset int64) (line, column int) {
	before := text[:min(max(offset-1, 0), int64(len(text)))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[start:]) + 1
}

func kindDescription(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	default:
		return "an object"
	}
}
