package jsonc

import "time"

// Duration is a time.Duration that is written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }
