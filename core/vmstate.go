package core

import "fmt"

// String returns the name that status output and the platform's objects use.
func (s VMState) String() string {
	switch s {
	case VMJoining:
		return "joining"
	case VMLive:
		return "live"
	case VMLeaving:
		return "leaving"
	}
	return "unknown"
}

// MarshalText returns the name of the state.
func (s VMState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state.
func (s *VMState) UnmarshalText(text []byte) error {
	for _, state := range []VMState{VMJoining, VMLive, VMLeaving} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown state of a VM: %q", text)
}
