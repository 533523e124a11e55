package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Guards against an answer that can't be read because of one part of it.
func TestPartsAreFoundBesideOnesThatCannotBeDecoded(t *testing.T) {
	for name, part := range map[string]string{
		"deep":              nested(50_000),
		"deep in an object": `{"a":` + nested(50_000) + `}`,
		"no JSON":           "xyz",
		"number too large":  "1e999999",
		"wrong number":      "-.+1",
		"brackets in text":  `"]}\"[{\\"`,
	} {
		t.Run(name, func(t *testing.T) {
			items, err := List([]byte("[ 1 ," + part + `, {"b":2}]`))
			must.NoError(t, err)
			must.Eq(t, []string{"1", part, `{"b":2}`}, texts(items))
			fields, err := Object([]byte(`{"x" : 1, "odd":` + part + `,"y": [2]}`))
			must.NoError(t, err)
			must.Eq(t, "1", string(fields["x"]))
			must.Eq(t, part, string(fields["odd"]))
			must.Eq(t, "[2]", string(fields["y"]))
		})
	}
}

func texts(list [][]byte) (out []string) {
	for _, text := range list {
		out = append(out, string(text))
	}
	return out
}

func TestIncompleteTextsAreMalformed(t *testing.T) {
	for _, text := range []string{"", "[", "[1", "[1,", "[1,]", "[1}", "1", "{}", `["a]`, "[1]x", "[1 2]", "[[1]", "[\"a\\"} {
		_, err := List([]byte(text))
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(text))
	}
	for _, text := range []string{"", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,}`, `{a:1}`, `{"a" 1}`, "[]", `{"a":1}}`, `{1:2}`} {
		_, err := Object([]byte(text))
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(text))
	}
}

func TestDepth(t *testing.T) {
	for text, want := range map[string]int{"1": 0, `"[["`: 0, "[]": 1, `{"a":[{}]}`: 3, nested(20_000): 20_000, "[[": 0} {
		must.Eq(t, want, Depth([]byte(text)))
	}
}

// The parts of a valid text are those that encoding/json finds.
func TestPartsEqualThoseOfTheJSONPackage(t *testing.T) {
	var value func(r *rapid.T, depth int) any
	value = func(r *rapid.T, depth int) any {
		switch kind := rapid.IntRange(0, 5).Draw(r, "kind"); {
		case kind == 0 && depth > 0:
			return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) any { return value(r, depth-1) }), 0, 4).Draw(r, "list")
		case kind == 1 && depth > 0:
			return rapid.MapOfN(rapid.String(), rapid.Custom(func(r *rapid.T) any { return value(r, depth-1) }), 0, 4).Draw(r, "object")
		case kind == 2:
			return rapid.String().Draw(r, "text")
		case kind == 3:
			return rapid.Float64Range(-1e9, 1e9).Draw(r, "number")
		}
		return rapid.SampledFrom([]any{nil, true, false}).Draw(r, "constant")
	}
	rapid.Check(t, func(r *rapid.T) {
		object := rapid.MapOfN(rapid.String(), rapid.Custom(func(r *rapid.T) any { return value(r, 3) }), 0, 5).Draw(r, "object")
		text, err := json.MarshalIndent(object, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(r, "indent"))
		must.NoError(r, err)
		var want map[string]json.RawMessage
		must.NoError(r, json.Unmarshal(text, &want))
		got, err := Object(text)
		must.NoError(r, err)
		must.MapLen(r, len(want), got)
		for name, part := range want {
			must.Eq(r, string(part), string(got[name]))
		}
	})
}

func FuzzParts(f *testing.F) {
	f.Add([]byte(`{"a":[1,"x"],"b":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		fields, _ := Object(text)
		for _, part := range fields {
			Depth(part)
		}
		_, _ = List(text)
	})
}
