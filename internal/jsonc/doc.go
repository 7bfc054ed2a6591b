// Package jsonc decodes JSON with comments and trailing commas into typed structs and reports all
// faults of a file at once, each with its position, the value found and the remedy.
//
// Struct fields are matched by their json tag, case-sensitively; a field without a tag is not
// decoded. The tag `expect` describes in words the values that a field accepts, and becomes the remedy.
// Supported are structs, slices, pointers, strings, booleans, numbers and types with UnmarshalText,
// which are decoded from a JSON string. null is rejected. A Document belongs to the calling code; the
// package keeps no reference to it.
package jsonc
