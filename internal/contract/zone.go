package contract

import (
	"bytes"
	"fmt"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// UnknownZoneError reports a zone that the manifest does not declare.
type UnknownZoneError struct {
	Zone     string
	Declared []string
}

// Error names the zone and the declared ones.
func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("zone %q is not declared; use one of %q", e.Zone, e.Declared)
}

// SetZoneState returns the text with the state of one zone set to ZoneIn or ZoneOut. All other
// bytes, comments included, stay as they are. Errors are *UnknownZoneError and *jsonc.Problems.
func SetZoneState(text []byte, zone, state string) ([]byte, error) {
	manifest, err := Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	doc, err := jsonc.Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	unknown := &UnknownZoneError{Zone: zone}
	for i := range manifest.Zones {
		if manifest.Zones[i].Name == zone {
			return replaceZoneState(doc, text, i, state), nil
		}
		unknown.Declared = append(unknown.Declared, manifest.Zones[i].Name)
	}
	return nil, unknown
}

func replaceZoneState(doc *jsonc.Document, text []byte, index int, state string) []byte {
	path := jsonc.Path{"zones"}.Index(index)
	quoted := `"` + state + `"`
	if start, end, ok := doc.Span(path.Field("state")); ok {
		return splice(text, start, end, quoted)
	}
	_, end, _ := doc.Span(path.Field("name"))
	return splice(text, end, end, `, "state": `+quoted)
}

// splice returns text with the bytes from start to end replaced.
func splice(text []byte, start, end int, replacement string) []byte {
	return bytes.Join([][]byte{text[:start], text[end:]}, []byte(replacement))
}

// KeepZoneStates returns text with the states in force for the zones that have none in text.
// Operators take zones out and in while a pipeline continues to generate manifests; a generated
// manifest must not undo that unless it gives the state. inForce is the manifest in force; if it is
// missing or invalid, text is returned unchanged.
func KeepZoneStates(inForce StoredManifest, text []byte) ([]byte, error) {
	next, err := Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	if inForce.Generation == 0 {
		return text, nil
	}
	previous, err := Parse(storedName, inForce.Text)
	if err != nil {
		return text, nil
	}
	for i := range next.Zones {
		state := previous.zoneState(next.Zones[i].Name)
		if next.Zones[i].State != nil || state == nil {
			continue
		}
		if text, err = SetZoneState(text, next.Zones[i].Name, *state); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// zoneState returns the declared state of a zone, or nil when there is none.
func (m *Manifest) zoneState(name string) *string {
	for i := range m.Zones {
		if m.Zones[i].Name == name {
			return m.Zones[i].State
		}
	}
	return nil
}
