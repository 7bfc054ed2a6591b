package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// structFields are the fields of a struct type that have a json tag.
type structFields struct {
	byName map[string]structField
	names  []string
}

type structField struct {
	index  int
	expect string
}

// fieldsOf returns the fields of a type. A manifest can have thousands of targets, so the result is
// cached in the document.
func (d *Document) fieldsOf(t reflect.Type) *structFields {
	if cached := d.fieldCache[t]; cached != nil {
		return cached
	}
	out := &structFields{byName: make(map[string]structField, t.NumField())}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		if !isSupported(f.Type) {
			panic(fmt.Sprintf("jsonc: field %s.%s has the unsupported type %s", t, f.Name, f.Type))
		}
		out.byName[name] = structField{index: i, expect: f.Tag.Get("expect")}
		out.names = append(out.names, name)
	}
	d.fieldCache[t] = out
	return out
}

// isSupported reports whether values of type t can be decoded.
func isSupported(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Map, reflect.Interface, reflect.Chan, reflect.Func, reflect.Array, reflect.Complex64,
		reflect.Complex128, reflect.Uintptr, reflect.UnsafePointer:
		return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
	}
	return true
}
