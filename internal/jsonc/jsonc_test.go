package jsonc

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type sample struct {
	Name  string   `json:"name"`
	Count uint16   `json:"count"`
	Wait  Duration `json:"wait" expect:"a duration such as \"5s\""`
	Items []struct {
		On *bool `json:"on"`
	} `json:"items"`
}

func decodeSample(text string) (sample, error) {
	var s sample
	d, err := Parse("f.json", []byte(text))
	if err != nil {
		return s, err
	}
	d.Decode(&s)
	return s, d.Err()
}

// Guards against faults that are reported at a wrong position, one at a time, or not at all.
func TestDecodeReportsAllProblems(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"unknown, duplicate and wrong type together",
			"{\n  \"nam\": 1,\n  \"count\": 70000, \"count\": 1,\n  \"wait\": \"soon\",\n  \"items\": [{\"on\": \"é\"}, 3]\n}",
			[]string{
				`f.json:2:3: nam: unknown field, found "nam"; remove it or use one of: name, count, wait, items`,
				`f.json:3:12: count: not a whole number within 16 bits, found 70000; give a whole number within 16 bits`,
				`f.json:3:19: count: the field occurs twice, found 1; keep one of them`,
				`f.json:4:11: wait: not a valid value, found "soon"; give a duration such as "5s"`,
				`f.json:5:20: items[0].on: not true or false, found "é"; give true or false`,
				`f.json:5:26: items[1]: not an object, found 3; give an object`,
			}},
		{"column counts characters", `{"name": "éé", "x": 1}`,
			[]string{`f.json:1:16: x: unknown field, found "x"; remove it or use one of: name, count, wait, items`}},
		{"field names are case-sensitive", `{"Name": "a"}`,
			[]string{`f.json:1:2: Name: unknown field, found "Name"; remove it or use one of: name, count, wait, items`}},
		{"null", `{"name": null}`, []string{`f.json:1:10: name: not a string, found null; give a string`}},
		{"not an object", `[1]`, []string{`f.json:1:1: not an object, found [1]; give an object`}},
	}
	Convey("Each file reports all its problems in order", t, func() {
		for _, c := range cases {
			_, err := decodeSample(c.text)
			So(err, ShouldNotBeNil)
			So(strings.Split(err.Error(), "\n"), ShouldResemble, c.want)
		}
	})
}

// Guards against accepting files that are not JSON, and against files that exhaust memory or the stack.
func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name, text string
		kind       Kind
		line       int
	}{
		{"empty", "", KindSyntax, 1},
		{"text", "hello", KindSyntax, 1},
		{"cut off", "{\n\"a\": ", KindSyntax, 2},
		{"two values", "{}\n{}", KindSyntax, 2},
		{"not UTF-8", "{\"a\":\n\"\xff\"}", KindSyntax, 2},
		{"deep", strings.Repeat("[", MaxSize), KindSyntax, 1},
		{"open comment", "{} /*", KindSyntax, 1},
		{"large", strings.Repeat(" ", MaxSize+1), KindTooLarge, 1},
	}
	Convey("Each bad file is rejected with one problem of the right kind", t, func() {
		for _, c := range cases {
			_, err := Parse("f.json", []byte(c.text))
			var problems *Problems
			So(errors.As(err, &problems), ShouldBeTrue)
			So(problems.List, ShouldHaveLength, 1)
			So(problems.List[0].Kind, ShouldEqual, c.kind)
			So(problems.List[0].Line, ShouldEqual, c.line)
		}
	})
}

// Guards against rejecting comments, trailing commas and brackets in strings, which a file may contain.
func TestDecodeAcceptsComments(t *testing.T) {
	Convey("Comments and trailing commas are accepted", t, func() {
		text := "// [[[\n{ /* {{ */ \"name\": \"" + strings.Repeat("[", 100) + "\\\"\", \"items\": [{\"on\": false,},], }"
		s, err := decodeSample(text)
		So(err, ShouldBeNil)
		So(s.Name, ShouldEndWith, "[\"")
		So(*s.Items[0].On, ShouldBeFalse)
	})
}
