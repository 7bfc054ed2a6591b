// Package settings holds the settings of a `serve` process, which are JSON with comments. It parses
// and validates them; it opens no socket and reads no file but the settings file itself.
package settings
