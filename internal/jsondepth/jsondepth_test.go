package jsondepth

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Guards against a limit that changes what is not nested too deep, or that takes brackets in strings for nesting.
func TestLimit(t *testing.T) {
	for _, test := range []struct {
		text, want string
		depth      int
	}{
		{`7`, `7`, 0},
		{`[1]`, `null`, 0},
		{`[1,[2],{"a":[3]},[]]`, `[1,null,null,null]`, 1},
		{`[1,[2],{"a":[3]},4]`, `[1,[2],{"a":null},4]`, 2},
		{`{"a]":"[[\"{","b":[["\\"]],"c":"\\\"]"}`, `{"a]":"[[\"{","b":[null],"c":"\\\"]"}`, 2},
		{`[[[[`, `[null`, 1},
		{`]]]`, `]]]`, 1},
		{`["a`, `["a`, 1},
		{`"a\`, `"a\`, 1},
		{``, ``, 1},
	} {
		if got := string(Limit([]byte(test.text), test.depth)); got != test.want {
			t.Errorf("Limit(%s, %d) = %s, want %s", test.text, test.depth, got, test.want)
		}
	}
}

// FuzzLimit guards against valid texts that become invalid or remain too deep, and against texts that are changed although they
// are not too deep.
func FuzzLimit(f *testing.F) {
	f.Add([]byte(`{"a":[[{"b":"]\""}],null,-1.5e3]}`), uint8(2))
	f.Add([]byte(`[[[[[1]]]],"\\"]`), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, depth uint8) {
		got := Limit(text, int(depth))
		if !json.Valid(text) {
			return
		}
		if !json.Valid(got) {
			t.Fatalf("Limit(%s, %d) = %s, which is invalid", text, depth, got)
		}
		if again := Limit(got, int(depth)); !bytes.Equal(again, got) {
			t.Fatalf("Limit(%s, %d) = %s, limited once more: %s", text, depth, got, again)
		}
		if unlimited := Limit(text, len(text)); !bytes.Equal(unlimited, text) {
			t.Fatalf("%s became %s", text, unlimited)
		}
	})
}
