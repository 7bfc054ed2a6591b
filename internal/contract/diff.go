package contract

import (
	"fmt"

	"github.com/mangoweir/mangoweir/core"
)

// ChangeKind is the kind of a difference between two manifests.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entity is "deployment", "zone", "service" or "target".
	Entity string `json:"entity"`
	// Name is the entity's name; a target is named in the form service/target.
	Name string `json:"name"`
	// Field, Old and New are set when Kind is Changed. Old and New include defaults.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", c.Entity, c.Name)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Entity, c.Name)
	default:
		return fmt.Sprintf("~ %s %s: %s %s -> %s", c.Entity, c.Name, c.Field, c.Old, c.New)
	}
}

// Diff lists the differences from old to next: removals and changes in the order of old, then
// additions in the order of next. It ignores comments, order and the field "generated". old may be nil.
func Diff(old, next *Manifest) []Change {
	before, after := entities(old), entities(next)
	afterByKey := make(map[entityKey]*entity, len(after))
	for i := range after {
		afterByKey[after[i].key] = &after[i]
	}
	inBefore := make(map[entityKey]bool, len(before))
	changes := []Change{}
	for i := range before {
		e := &before[i]
		inBefore[e.key] = true
		if other := afterByKey[e.key]; other != nil {
			changes = append(changes, e.compare(other)...)
			continue
		}
		changes = append(changes, Change{Kind: Removed, Entity: e.key.entity, Name: e.key.name})
	}
	for i := range after {
		if !inBefore[after[i].key] {
			changes = append(changes, Change{Kind: Added, Entity: after[i].key.entity, Name: after[i].key.name})
		}
	}
	return changes
}

type entityKey struct{ entity, name string }

// entity is a part of a manifest with its fields in a fixed order.
type entity struct {
	key    entityKey
	fields []field
}

type field struct{ name, value string }

func (e *entity) compare(next *entity) []Change {
	var out []Change
	for i, f := range e.fields {
		if f.value != next.fields[i].value {
			out = append(out, Change{Kind: Changed, Entity: e.key.entity, Name: e.key.name,
				Field: f.name, Old: f.value, New: next.fields[i].value})
		}
	}
	return out
}

func entities(m *Manifest) []entity {
	if m == nil {
		return nil
	}
	out := []entity{{key: entityKey{"deployment", m.Deployment}}}
	for i := range m.Zones {
		z := &m.Zones[i]
		out = append(out, entity{entityKey{"zone", z.Name}, []field{{"state", orDefault(z.State, ZoneIn)}}})
	}
	for i := range m.Services {
		s := &m.Services[i]
		out = append(out, entity{entityKey{"service", s.Name}, s.fields()})
		for j := range s.Targets {
			t := &s.Targets[j]
			out = append(out, entity{entityKey{"target", s.Name + "/" + t.Name}, t.fields()})
		}
	}
	return out
}

func (s *Service) fields() []field {
	c := s.Contract.config()
	out := []field{
		{"address", s.Address},
		{"contract.coldLimit", fmt.Sprint(c.ColdLimit)},
		{"contract.ramp", c.Ramp.String()},
		{"contract.drain", c.Drain.String()},
		{"contract.queueLimit", fmt.Sprint(c.QueueLimit)},
		{"contract.defaultDeadline", c.DefaultDeadline.String()},
	}
	for class, wait := range c.MaxWait {
		out = append(out, field{"contract.maxWait." + core.Class(class).String(), wait.String()})
	}
	return out
}

func (t *Target) fields() []field {
	return []field{
		{"address", t.Address},
		{"zone", t.Zone},
		{"slots", fmt.Sprint(t.Slots)},
		{"connections", fmt.Sprint(t.Connections)},
		{"weight", fmt.Sprint(orDefault(t.Weight, 1))},
		{"instance", fmt.Sprintf("%q", t.Instance)},
		{"state", orDefault(t.State, TargetActive)},
		{"reportsLoad", fmt.Sprint(t.ReportsLoad)},
	}
}
