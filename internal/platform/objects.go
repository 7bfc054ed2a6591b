package platform

import (
	"encoding/json"
	"regexp"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
)

// Limits of the object API.
const (
	// MaxValueSize is the largest size of a value in bytes.
	MaxValueSize = 1 << 20
	// MaxHeads is the largest number of keys in one call of Heads.
	MaxHeads = 256
	// MaxWatch is the longest time that a watch waits.
	MaxWatch = time.Minute
)

// ManifestKey is the key of the manifest. The version of the object is the generation.
const ManifestKey = "config/manifest"

// MembersKey returns the key of a zone's member list. The version of the object is the epoch.
func MembersKey(zone core.ZoneName) string { return core.MembersObject(zone) }

// StatusKey returns the key of a zone's status.
func StatusKey(zone core.ZoneName) string { return "zones/" + string(zone) + "/status" }

// Object is an object of the platform. Version 0 means that it does not exist.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Head is the version of an object.
type Head struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// MembersValue is the value of a zone's member list.
type MembersValue struct {
	Members []core.Member `json:"members"`
}

// StatusValue is the value of a zone's status.
type StatusValue struct {
	VMs []core.VMStatus `json:"vms"`
}

// Status is the status of the deployment, as far as an entry VM has received it.
type Status struct {
	// Generation is the newest generation that was reported to the VM.
	Generation core.Generation `json:"generation"`
	VMs        []core.VMStatus `json:"vms"`
}

// EncodeMembers returns the value of a member list.
func EncodeMembers(members []core.Member) ([]byte, error) {
	return json.Marshal(MembersValue{Members: members})
}

// DecodeMembers parses the value of a member list. An empty value has no members.
func DecodeMembers(value []byte) ([]core.Member, error) {
	var v MembersValue
	if len(value) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, errors.Annotate(err, "member list")
	}
	return v.Members, nil
}

// EncodeStatus returns the value of a zone's status.
func EncodeStatus(vms []core.VMStatus) ([]byte, error) {
	return json.Marshal(StatusValue{VMs: vms})
}

// DecodeStatus parses the value of a zone's status. An empty value has no VMs.
func DecodeStatus(value []byte) ([]core.VMStatus, error) {
	var v StatusValue
	if len(value) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, errors.Annotate(err, "zone status")
	}
	return v.VMs, nil
}

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*$`)

// ValidKey reports whether a key is well-formed; see the package comment.
func ValidKey(key string) bool {
	if len(key) > 250 || !keyPattern.MatchString(key) {
		return false
	}
	for _, segment := range strings.Split(key, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}
