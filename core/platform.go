package core

import "strings"

// Names of platform objects, as in PlatformFailed.
const (
	ObjectHeads    = "heads"
	ObjectManifest = "config/manifest"
	ObjectVMList   = "vms"
)

// Prefix and suffix of the name of a zone's member list.
const (
	membersPrefix = "zones/"
	membersSuffix = "/members"
)

// MembersObject returns the name of the object that holds a zone's member list.
func MembersObject(zone ZoneName) string { return membersPrefix + string(zone) + membersSuffix }

// MembersZone returns the zone whose member list has the given name, and false for a name of another
// object.
func MembersZone(object string) (ZoneName, bool) {
	rest, ok := strings.CutPrefix(object, membersPrefix)
	if !ok {
		return "", false
	}
	zone, ok := strings.CutSuffix(rest, membersSuffix)
	return ZoneName(zone), ok
}
