package rawjson_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/rawjson"
)

func ExampleValue_Elements() {
	list := rawjson.Value(`[{"port": 80}, 1e400, "a, b", [[2]]]`)
	elements, err := list.Elements()
	for _, e := range elements {
		fmt.Println(string(e))
	}
	fmt.Println(err)
	// Output:
	// {"port": 80}
	// 1e400
	// "a, b"
	// [[2]]
	// <nil>
}

// Guards against an element that is nested deeper than encoding/json allows and makes the others unreadable.
func TestDeeplyNestedElement(t *testing.T) {
	const depth = 200_000
	deep := strings.Repeat(`[{"a":`, depth) + "1" + strings.Repeat("}]", depth)
	fields, err := rawjson.Value(`{"items": [1, ` + deep + `, 2], "more": false}`).Fields()
	assert.NilError(t, err)
	assert.Equal(t, string(fields["more"]), "false")
	elements, err := fields["items"].Elements()
	assert.NilError(t, err)
	assert.Equal(t, len(elements), 3)
	assert.Equal(t, string(elements[1]), deep)
	assert.Equal(t, string(elements[2]), "2")
}

// Guards against text that is cut off or has no structure and is taken for a shorter list.
func TestMalformedText(t *testing.T) {
	for _, text := range []string{`[`, `[1`, `[1,`, `[1,]`, `[1 2]`, `[1]]`, `[1],`, `[,]`, `{}`, `7`, `"[1]"`, `["a]`, `[{"a":1]`} {
		elements, err := rawjson.Value(text).Elements()
		if err == nil { // a bracket that does not match is left to the decoder of the element
			assert.Assert(t, !json.Valid(elements[0]), "%s", text)
		}
	}
	for _, text := range []string{``, `{`, `{"a"`, `{"a":`, `{"a":}`, `{"a":1`, `{"a":1,}`, `{"a" 1}`, `{1:1}`, `{"a":1}}`, `[]`, `null`} {
		_, err := rawjson.Value(text).Fields()
		assert.ErrorIs(t, err, rawjson.ErrMalformed, "%s", text)
	}
	elements, err := rawjson.Value(" null ").Elements()
	assert.NilError(t, err)
	assert.Equal(t, len(elements), 0)
}

// Checks that splitting agrees with encoding/json on all text that the latter accepts, and never panics on other text.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[]`, `[1,"a\"]",{"b":[null]}]`, `{"items":[{"Metadata":{"Name":"h"},"Spec":{}}],"HasMore":false}`, `{"a":1e400}`,
		`{"a":1,"a":2}`, "[\"\xff\"]", `[[[[`, `{"a":"\u0022"}`, `{"\u0061":1}`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		elements, elementsErr := rawjson.Value(text).Elements()
		fields, fieldsErr := rawjson.Value(text).Fields()
		var list []json.RawMessage
		if json.Unmarshal([]byte(text), &list) == nil {
			assert.NilError(t, elementsErr)
			assert.Equal(t, len(elements), len(list))
			for i := range list {
				assert.Equal(t, string(elements[i]), string(list[i]))
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &object) == nil && object != nil {
			assert.NilError(t, fieldsErr)
			assert.Equal(t, len(fields), len(object))
			for name := range object {
				assert.Equal(t, string(fields[name]), string(object[name]))
			}
		}
	})
}
