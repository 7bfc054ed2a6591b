package core

import "regexp"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// NameRemedy says which names ValidName accepts.
const NameRemedy = "use up to 63 lower-case letters, digits, '.', '-' or '_' between letters or digits"

// ValidName reports whether a string can be the name of a VM, zone, service, target or deployment.
func ValidName(name string) bool { return namePattern.MatchString(name) }
