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
// and wrong type. A value of the wrong type leaves its field unset; a pointer field then points to a zero
// value. Err returns the problems.
func (d *Document) Decode(v any) {
	d.decode(&d.root, reflect.ValueOf(v).Elem(), nil, "")
}

// decode decodes one value; expect describes in words the values that the field accepts.
func (d *Document) decode(v *hujson.Value, dst reflect.Value, path Path, expect string) {
	if dst.Kind() == reflect.Pointer {
		element := reflect.New(dst.Type().Elem())
		d.decode(v, element.Elem(), path, expect)
		dst.Set(element)
		return
	}
	if unmarshaler, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, unmarshaler, path, expect)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, dst, path, expect)
	case reflect.Slice:
		d.decodeSlice(v, dst, path, expect)
	default:
		d.decodeLiteral(v, dst, path, expect)
	}
}

func (d *Document) decodeText(v *hujson.Value, dst encoding.TextUnmarshaler, path Path, expect string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.reportWrongType(v, path, "a string", expect)
		return
	}
	if err := dst.UnmarshalText([]byte(unquote(lit))); err != nil {
		d.reportWrongType(v, path, "a valid value", expect)
	}
}

func (d *Document) decodeStruct(v *hujson.Value, dst reflect.Value, path Path, expect string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reportWrongType(v, path, "an object", expect)
		return
	}
	fields := d.fieldsOf(dst.Type())
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		member := &obj.Members[i]
		name := unquote(member.Name.Value.(hujson.Literal))
		fieldPath := path.Field(name)
		if seen[name] {
			d.addProblem(member.Name.StartOffset, KindDuplicateKey, fieldPath.String(), d.excerpt(&member.Value),
				"the field occurs twice", "keep one of them")
			continue
		}
		seen[name] = true
		field, known := fields.byName[name]
		if !known {
			d.addProblem(member.Name.StartOffset, KindUnknownField, fieldPath.String(), d.excerpt(&member.Name),
				"unknown field", "remove it or use one of: "+strings.Join(fields.names, ", "))
			continue
		}
		d.decode(&member.Value, dst.Field(field.index), fieldPath, field.expect)
	}
}

func (d *Document) decodeSlice(v *hujson.Value, dst reflect.Value, path Path, expect string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportWrongType(v, path, "an array", expect)
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.decode(&arr.Elements[i], out.Index(i), path.Index(i), expect)
	}
	dst.Set(out)
}

func (d *Document) decodeLiteral(v *hujson.Value, dst reflect.Value, path Path, expect string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || !setLiteral(dst, lit) {
		d.reportWrongType(v, path, literalDescription(dst.Kind()), expect)
	}
}

// setLiteral stores a literal that the parser has accepted in dst, and reports whether the literal has
// the type of dst.
func setLiteral(dst reflect.Value, lit hujson.Literal) bool {
	kind := lit.Kind()
	switch dst.Kind() {
	case reflect.String:
		if kind != '"' {
			return false
		}
		dst.SetString(unquote(lit))
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			return false
		}
		dst.SetBool(lit.Bool())
	case reflect.Float32, reflect.Float64:
		n, err := strconv.ParseFloat(string(lit), dst.Type().Bits())
		if kind != '0' || err != nil {
			return false
		}
		dst.SetFloat(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(string(lit), 10, dst.Type().Bits())
		if kind != '0' || err != nil {
			return false
		}
		dst.SetUint(n)
	default:
		n, err := strconv.ParseInt(string(lit), 10, dst.Type().Bits())
		if kind != '0' || err != nil {
			return false
		}
		dst.SetInt(n)
	}
	return true
}

// unquote returns the value of a string literal.
func unquote(lit hujson.Literal) string {
	if bytes.IndexByte(lit, '\\') < 0 {
		return string(lit[1 : len(lit)-1])
	}
	return lit.String()
}

func (d *Document) reportWrongType(v *hujson.Value, path Path, want, expect string) {
	remedy := "give " + want
	if expect != "" {
		remedy = "give " + expect
	}
	d.wrongTypes[path.pointer()] = true
	d.addProblem(v.StartOffset, KindWrongType, path.String(), d.excerpt(v), "not "+want, remedy)
}

func literalDescription(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number within " + strconv.Itoa(bitSize(k)) + " bits"
	}
}

func bitSize(k reflect.Kind) int {
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
