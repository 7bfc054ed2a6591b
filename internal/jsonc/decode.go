package jsonc

import (
	"bytes"
	"encoding"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode fills the struct that v points to and adds a problem for each unknown field, duplicate key
// and wrong type. Values with a problem keep their former content. Call Err for the outcome.
func (d *Document) Decode(v any) {
	d.decode(&d.root, reflect.ValueOf(v).Elem(), nil, "")
}

// decode decodes one value; expect is what the field takes, in words.
func (d *Document) decode(v *hujson.Value, to reflect.Value, path Path, expect string) {
	if to.Kind() == reflect.Pointer {
		fresh := reflect.New(to.Type().Elem())
		d.decode(v, fresh.Elem(), path, expect)
		to.Set(fresh)
		return
	}
	if u, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, u, path, expect)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, to, path, expect)
	case reflect.Slice:
		d.decodeSlice(v, to, path, expect)
	default:
		d.decodeLiteral(v, to, path, expect)
	}
}

func (d *Document) decodeText(v *hujson.Value, to encoding.TextUnmarshaler, path Path, expect string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.wrongType(v, path, "a string", expect)
		return
	}
	if err := to.UnmarshalText([]byte(unquote(lit))); err != nil {
		d.wrongType(v, path, "a valid value", expect)
	}
}

func (d *Document) decodeStruct(v *hujson.Value, to reflect.Value, path Path, expect string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object", expect)
		return
	}
	fields := d.fieldsOf(to.Type())
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := unquote(m.Name.Value.(hujson.Literal))
		at := path.Field(name)
		if seen[name] {
			d.addAt(m.Name.StartOffset, KindDuplicateKey, at.String(), d.excerpt(&m.Value),
				"the field occurs twice", "keep one of them")
			continue
		}
		seen[name] = true
		f, known := fields.byName[name]
		if !known {
			d.addAt(m.Name.StartOffset, KindUnknownField, at.String(), d.excerpt(&m.Name),
				"unknown field", "remove it or use one of: "+strings.Join(fields.names, ", "))
			continue
		}
		d.decode(&m.Value, to.Field(f.index), at, f.expect)
	}
}

func (d *Document) decodeSlice(v *hujson.Value, to reflect.Value, path Path, expect string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array", expect)
		return
	}
	out := reflect.MakeSlice(to.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.decode(&arr.Elements[i], out.Index(i), path.Index(i), expect)
	}
	to.Set(out)
}

func (d *Document) decodeLiteral(v *hujson.Value, to reflect.Value, path Path, expect string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || !setLiteral(to, lit) {
		d.wrongType(v, path, literalName(to.Kind()), expect)
	}
}

// setLiteral stores a literal that the parser has accepted, and reports whether its type fits.
func setLiteral(to reflect.Value, lit hujson.Literal) bool {
	kind := lit.Kind()
	switch to.Kind() {
	case reflect.String:
		if kind != '"' {
			return false
		}
		to.SetString(unquote(lit))
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			return false
		}
		to.SetBool(lit.Bool())
	case reflect.Float32, reflect.Float64:
		n, err := strconv.ParseFloat(string(lit), to.Type().Bits())
		if kind != '0' || err != nil {
			return false
		}
		to.SetFloat(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(string(lit), 10, to.Type().Bits())
		if kind != '0' || err != nil {
			return false
		}
		to.SetUint(n)
	default:
		n, err := strconv.ParseInt(string(lit), 10, to.Type().Bits())
		if kind != '0' || err != nil {
			return false
		}
		to.SetInt(n)
	}
	return true
}

// unquote returns the content of a string literal.
func unquote(lit hujson.Literal) string {
	if bytes.IndexByte(lit, '\\') < 0 {
		return string(lit[1 : len(lit)-1])
	}
	return lit.String()
}

func (d *Document) wrongType(v *hujson.Value, path Path, want, expect string) {
	remedy := "give " + want
	if expect != "" {
		remedy = "give " + expect
	}
	d.failed[path.pointer()] = true
	d.addAt(v.StartOffset, KindWrongType, path.String(), d.excerpt(v), "not "+want, remedy)
}

func literalName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number within " + strconv.Itoa(bitsOf(k)) + " bits"
	}
}

func bitsOf(k reflect.Kind) int {
	switch k {
	case reflect.Int8, reflect.Uint8:
		return 8
	case reflect.Int16, reflect.Uint16:
		return 16
	case reflect.Int32, reflect.Uint32:
		return 32
	default:
		return 64
	}
}
