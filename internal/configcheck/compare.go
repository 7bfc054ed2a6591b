package configcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/mangoweir/mangoweir/platform"
)

// Change is a difference between a configuration and the one in force.
type Change struct {
	// Entry is "route", "service" or "limits", Name the name of a route or service.
	Entry string `json:"entry"`
	Name  string `json:"name,omitempty"`
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Field, Old and New are set for a changed field; the values are JSON.
	Field string          `json:"field,omitempty"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	entry := strings.TrimSpace(c.Entry + " " + c.Name)
	if c.Field == "" {
		return fmt.Sprintf("%s: %s", entry, c.Kind)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", entry, c.Field, c.Old, c.New)
}

// CheckVersion returns the finding for a version that never comes into force, as it is not above the one in force.
func CheckVersion(inForce, next *platform.CheckedConfig) []Finding {
	if next.Version == 0 || next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Severity: Error, Field: platform.FieldVersion,
		Message: fmt.Sprintf("version %d is not above version %d, which is in force", next.Version, inForce.Version),
		Remedy:  fmt.Sprintf("give version %d or a later one", inForce.Version+1),
	}}
}

// Compare returns what differs between the configuration in force and the next one. The order of entries is not compared.
func Compare(inForce, next *platform.CheckedConfig) []Change {
	changes := compareEntries("route", inForce.Routes, next.Routes, func(r *platform.CheckedRoute) string { return r.Name })
	changes = append(changes, compareEntries("service", inForce.Services, next.Services,
		func(s *platform.ServiceSpec) string { return s.Name })...)
	return append(changes, compareFields("limits", "", inForce.Limits, next.Limits)...)
}

// entryKey identifies an entry: the n-th one with a name, as names may be given twice by mistake.
type entryKey struct {
	name string
	n    int
}

func compareEntries[E any](entry string, before, after []E, name func(*E) string) []Change {
	var changes []Change
	old, oldKeys := byKey(before, name)
	present, newKeys := byKey(after, name)
	for _, key := range oldKeys {
		if _, ok := present[key]; !ok {
			changes = append(changes, Change{Entry: entry, Name: key.name, Kind: "removed"})
		}
	}
	for _, key := range newKeys {
		if _, ok := old[key]; !ok {
			changes = append(changes, Change{Entry: entry, Name: key.name, Kind: "added"})
			continue
		}
		changes = append(changes, compareFields(entry, key.name, *old[key], *present[key])...)
	}
	return changes
}

// byKey returns the entries by their keys, and the keys in the order of the entries.
func byKey[E any](entries []E, name func(*E) string) (map[entryKey]*E, []entryKey) {
	found, keys := map[entryKey]*E{}, []entryKey(nil)
	count := map[string]int{}
	for i := range entries {
		key := entryKey{name(&entries[i]), count[name(&entries[i])]}
		count[key.name]++
		found[key] = &entries[i]
		keys = append(keys, key)
	}
	return found, keys
}

// compareFields compares two structs of the same type by the fields that have a JSON name.
func compareFields(entry, name string, before, after any) []Change {
	var changes []Change
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for _, field := range reflect.VisibleFields(a.Type()) {
		tag := field.Tag.Get("json")
		if tag == "" {
			continue
		}
		old, new := jsonText(a.FieldByIndex(field.Index)), jsonText(b.FieldByIndex(field.Index))
		if string(old) != string(new) {
			changes = append(changes, Change{Entry: entry, Name: name, Kind: "changed", Field: tag, Old: old, New: new})
		}
	}
	return changes
}

// jsonText returns a decoded value as JSON. An empty list and a missing one are the same.
func jsonText(v reflect.Value) json.RawMessage {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return json.RawMessage("[]")
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
