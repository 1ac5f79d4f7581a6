package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

type inner struct {
	Name string `json:"name" validate:"required"`
	// LoadMillis has a name whose suffix gives its unit.
	LoadMillis int64 `json:"load_ms" validate:"gt=0"`
}

type outer struct {
	Text  string   `json:"text"`
	Yes   bool     `json:"yes"`
	Count int      `json:"count"`
	Share float64  `json:"share" validate:"lte=1"`
	Items []inner  `json:"items" validate:"dive"`
	Words []string `json:"words"`
	Extra Raw      `json:"extra"`
}

func read(t *testing.T, text string) (outer, error) {
	t.Helper()
	node, problems := Parse("f", []byte(text))
	if node == nil {
		return outer{}, problems.Err()
	}
	o := outer{Text: "default"}
	problems = append(problems, Read(node, &o, NewIndex(node))...)
	return o, problems.Err()
}

func TestReadValid(t *testing.T) {
	o, err := read(t, `{ // comment
		"yes": true, "count": -3, "share": 1e-1,
		"items": [{ "name": "a\u0062", "load_ms": 4 }], "words": [], "extra": { "x": [1, null] },
	}`)
	if err != nil {
		t.Fatal(err)
	}
	want := outer{Text: "default", Yes: true, Count: -3, Share: 0.1, Items: []inner{{"ab", 4}}, Words: []string{}, Extra: o.Extra}
	if !reflect.DeepEqual(o, want) {
		t.Errorf("got %+v, want %+v", o, want)
	}
	if extra, err := json.Marshal(o.Extra); err != nil || string(extra) != `{"x":[1,null]}` {
		t.Errorf("extra: got %s, %v; want the value as standard JSON", extra, err)
	}
}

func TestReadInvalid(t *testing.T) {
	for text, want := range map[string]string{
		`{"text": 4}`:                    `f:1: text: 4 is not a string (write "4")`,
		`{"yes": "true"}`:                `f:1: yes: "true" is not true or false (write true without quotes)`,
		`{"yes": 1}`:                     `f:1: yes: 1 is not true or false (write true or false)`,
		`{"count": 1.5}`:                 `f:1: count: 1.5 is not a whole number (write a whole number)`,
		`{"count": 99999999999999999e9}`: `f:1: count: 99999999999999999e9 is not a whole number (write a whole number)`,
		`{"share": 1e999}`:               `f:1: share: 1e999 is out of range (write a smaller number)`,
		`{"share": 2}`:                   `f:1: share: 2 is not allowed (write a number of at most 1)`,
		`{"words": "a"}`:                 `f:1: words: "a" is not a list (write a list)`,
		`{"words": [null]}`:              `f:1: words[0]: null is not a string (write a string)`,
		// No field has a name similar to "hidden".
		`{"hidden": 1}`: `f:1: hidden: unknown field (remove it)`,
		// A swap of two letters is two edits; a word of five letters allows one.
		`{"cuont": 1}`:   `f:1: cuont: unknown field (remove it)`,
		`{"wordss": []}`: `f:1: wordss: unknown field (did you mean "words"?)`,
		"{\n\n\"items\": [\n{\"name\": \"n\", \"load_ms\": \"2m\"}]}": `f:4: items[n].load_ms: "2m" is not a number of milliseconds (write 120000)`,
		"{\"items\": [\n{\"load_ms\": 1}]}":                           `f:2: items[0].name: is missing (add it)`,
		`{"items": [[]]}`:                                             `f:1: items[0]: a list is not an object (write an object)`,
		`{"text": "a", "text": "b"}`:                                  `f:1: text: appears twice, first on line 1 (keep one of the two)`,
		`[]`:                                                          `f:1: holds a list, not an object (write an object in braces)`,
	} {
		_, err := read(t, text)
		if err == nil || err.Error() != want {
			t.Errorf("%s:\ngot  %v\nwant %s", text, err, want)
		}
	}
}

func TestUnitConversionSuggestions(t *testing.T) {
	for _, test := range []struct {
		text string
		unit unit
		// want is empty if the text can't be converted.
		want string
	}{
		{"4s", unitMillis, "4000"},
		{"1.5 s", unitMillis, "1500"},
		{"250", unitMillis, "250"},
		{"soon", unitMillis, ""},
		{"16 GiB", unitMiB, "16384"},
		{"512mb", unitMiB, "512"},
		{"100", unitMiB, "100"},
		{"10 B", unitMiB, ""},
		{"1KiB", unitBytes, "1024"},
		{"-1KiB", unitBytes, ""},
		{"99999999999TB", unitBytes, ""},
		{"2/s", unitPerSecond, "2"},
		{"two/s", unitPerSecond, ""},
		{"4s", unitNone, ""},
	} {
		got, ok := convertToUnit(test.text, test.unit)
		if ok != (test.want != "") || (ok && got != test.want) {
			t.Errorf("convertToUnit(%q, %s) = %q, %v; want %q, or false if that is empty", test.text, test.unit, got, ok, test.want)
		}
	}
}

func TestNearest(t *testing.T) {
	candidates := []string{"class", "classes", "memory_mb"}
	for word, want := range map[string]string{
		"clas": "class", "clazzes": "classes", "memory_mbs": "memory_mb", "x": "", "budget": "", "": "",
	} {
		if got := Nearest(word, candidates); got != want {
			t.Errorf("Nearest(%q) = %q, want %q", word, got, want)
		}
	}
}

func TestFileSizeAndDepthLimits(t *testing.T) {
	deep := strings.Repeat(`{"a":`, maxDepth+1) + "1" + strings.Repeat("}", maxDepth+1)
	for name, text := range map[string]string{
		"deep":  deep,
		"large": `{"text": "` + strings.Repeat("x", MaxFileBytes) + `"}`,
	} {
		if node, problems := Parse("f", []byte(text)); node != nil || len(problems) != 1 {
			t.Errorf("%s: got a tree or not exactly one problem, problems %v; want no tree and one problem", name, problems)
		}
	}
}

func TestProblemsAreSortedAndListedOnce(t *testing.T) {
	a := Problem{File: "a", Line: 2, Path: "x", Message: "m"}
	b := Problem{File: "a", Line: 10, Path: "w", Message: "m"}
	c := Problem{File: "b", Line: 1, Message: "m"}
	err := Problems{c, b, a, b}.Err()
	if !reflect.DeepEqual(err, Problems{a, b, c}) {
		t.Errorf("got %v, want the three problems sorted, each once", err)
	}
	if (Problems{}).Err() != nil {
		t.Error("an empty list of problems gave an error, want nil")
	}
}

func TestFillListsDoesNotChangeSharedLists(t *testing.T) {
	type row struct {
		Words []string `json:"words"`
	}
	type rows struct {
		Rows  []row    `json:"rows"`
		Words []string `json:"words"`
	}
	shared := rows{Rows: []row{{}, {Words: []string{"a"}}}}
	copied := shared
	FillLists(&copied)
	data, err := json.Marshal(copied)
	if err != nil || string(data) != `{"rows":[{"words":[]},{"words":["a"]}],"words":[]}` {
		t.Errorf("got %s, %v; want empty lists instead of null", data, err)
	}
	if shared.Rows[0].Words != nil {
		t.Error("FillLists changed a list that is shared with another value")
	}
}

func TestRawIsStrict(t *testing.T) {
	o, err := read(t, "{\n\"extra\": {\n\"load_ms\": \"1s\", \"nme\": 1}}")
	if err != nil {
		t.Fatal(err)
	}
	err = o.Extra.Decode(&inner{})
	want := "f:2: name: is missing (add it)\nf:3: load_ms: \"1s\" is not a number of milliseconds (write 1000)\nf:3: nme: unknown field (did you mean \"name\"?)"
	if err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
	if err := (Raw{}).Decode(&inner{}); err != nil {
		t.Errorf("decoding an absent value failed: %v", err)
	}
	var unmarshaled Raw
	if err := json.Unmarshal([]byte(`{"name": "n", "load_ms": 1}`), &unmarshaled); err != nil {
		t.Fatal(err)
	}
	var i inner
	if err := unmarshaled.Decode(&i); err != nil || i.Name != "n" {
		t.Errorf("got %+v, %v; want the name n", i, err)
	}
}
