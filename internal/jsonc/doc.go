// Package jsonc decodes JSON with comments and trailing commas into typed structs and reports all
// faults of a file at once, each with its position, the value found and the remedy.
//
// Struct fields are matched by their json tag, case-sensitively; a field without a tag is not
// decoded. The tag `expect` says in words what a field takes and becomes the remedy. Supported are
// structs, slices, pointers, strings, booleans, numbers and types with UnmarshalText, which take a
// JSON string. null is refused. A Document belongs to its caller and is not changed by this package.
package jsonc
