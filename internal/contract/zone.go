package contract

import (
	"bytes"
	"fmt"

	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// UnknownZoneError says that a manifest does not declare a zone.
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
	m, err := Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	doc, err := jsonc.Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	unknown := &UnknownZoneError{Zone: zone}
	for i := range m.Zones {
		if m.Zones[i].Name == zone {
			return editZone(doc, text, i, state), nil
		}
		unknown.Declared = append(unknown.Declared, m.Zones[i].Name)
	}
	return nil, unknown
}

func editZone(doc *jsonc.Document, text []byte, i int, state string) []byte {
	at := jsonc.Path{"zones"}.Index(i)
	quoted := `"` + state + `"`
	if start, end, ok := doc.Span(at.Field("state")); ok {
		return splice(text, start, end, quoted)
	}
	_, end, _ := doc.Span(at.Field("name"))
	return splice(text, end, end, `, "state": `+quoted)
}

func splice(text []byte, start, end int, by string) []byte {
	return bytes.Join([][]byte{text[:start], text[end:]}, []byte(by))
}

// KeepZoneStates returns text with the states in force for the zones whose state text leaves open.
// Operators take zones out and in while a pipeline goes on to generate manifests; a generated
// manifest must not undo that unless it names the state. prev is what is in force.
func KeepZoneStates(prev StoredManifest, text []byte) ([]byte, error) {
	next, err := Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	if prev.Generation == 0 {
		return text, nil
	}
	former, err := Parse(storedName, prev.Text)
	if err != nil {
		return text, nil
	}
	for i := range next.Zones {
		state := former.zoneState(next.Zones[i].Name)
		if next.Zones[i].State != nil || state == nil {
			continue
		}
		if text, err = SetZoneState(text, next.Zones[i].Name, *state); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// zoneState returns the declared state of a zone, or nil.
func (m *Manifest) zoneState(name string) *string {
	for i := range m.Zones {
		if m.Zones[i].Name == name {
			return m.Zones[i].State
		}
	}
	return nil
}
