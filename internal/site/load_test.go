package site

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"limpethub/internal/strictjson"
)

const goodBase = "testdata/good/base.json"

func TestMergedDocument(t *testing.T) {
	for name, overlay := range map[string]string{"alone": "", "with-overlay": "testdata/good/overlay.json"} {
		t.Run(name, func(t *testing.T) {
			doc, err := Load(goodBase, overlay)
			if err != nil {
				t.Fatal(err)
			}
			data, err := json.MarshalIndent(doc, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/good")).Assert(t, name, data)
			if err := Verify(&doc); err != nil {
				t.Errorf("Verify of the merged document failed: %v", err)
			}
		})
	}
}

// badCases returns the cases of testdata/bad by name, each with its base and its overlay. A
// case without a base uses goodBase.
func badCases(t *testing.T) map[string][2]string {
	t.Helper()
	paths, err := filepath.Glob("testdata/bad/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found %d files, %v, want at least one", len(paths), err)
	}
	cases := map[string][2]string{}
	for _, path := range paths {
		name, role, _ := strings.Cut(strings.TrimSuffix(filepath.Base(path), ".json"), ".")
		files := cases[name]
		if files[0] == "" {
			files[0] = goodBase
		}
		if role == "base" {
			files[0] = path
		} else {
			files[1] = path
		}
		cases[name] = files
	}
	return cases
}

func TestBadFiles(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
	for name, files := range badCases(t) {
		t.Run(name, func(t *testing.T) {
			doc, err := Load(files[0], files[1])
			var problems strictjson.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want an error of type strictjson.Problems", err)
			}
			if doc.Site != "" {
				t.Error("Load returned a document together with an error")
			}
			for _, p := range problems {
				if p.File == "" || p.Line == 0 || p.Correction == "" {
					t.Errorf("%s: the problem has no file, no line or no fix", p)
				}
			}
			g.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestMissingFiles(t *testing.T) {
	for _, files := range [][2]string{{"testdata/none.json", ""}, {goodBase, "testdata/none.json"}} {
		if _, err := Load(files[0], files[1]); err == nil || !strings.Contains(err.Error(), "testdata/none.json") {
			t.Errorf("Load(%v) = %v, want an error that names testdata/none.json", files, err)
		}
	}
}

// TestVerifyNamesPathsWithoutLines guards against file names and lines in problems of a
// document that was not read from a file.
func TestVerifyNamesPathsWithoutLines(t *testing.T) {
	doc, err := Load(goodBase, "")
	if err != nil {
		t.Fatal(err)
	}
	doc.Models[0].Class = "none"
	err = Verify(&doc)
	if err == nil || !strings.HasPrefix(err.Error(), "models[draft@1].class: ") {
		t.Errorf("got %v, want a problem of models[draft@1].class without file and line", err)
	}
}

func TestExtraChecksAreRun(t *testing.T) {
	extra := func(*Document) []Finding {
		return []Finding{{Path: "models[1].memory_mb", Message: "is odd", Correction: "even it"}}
	}
	_, err := Load(goodBase, "", extra)
	want := goodBase + ":11: models[draft@2].memory_mb: is odd (even it)"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// FuzzParse guards against input that makes the parser panic, and against accepted
// documents that fail their own checks.
func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob("testdata/*/*.json")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, []byte("{}"))
		f.Add([]byte("{}"), data)
	}
	good, err := os.ReadFile(goodBase)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, []byte(`{"classes":[{"name":"later","before":"urgent"},{"name":"urgent","remove":true}]}`))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		doc, err := Parse(File{"base", base}, File{"overlay", overlay})
		if err != nil {
			return
		}
		if err := Verify(&doc); err != nil {
			t.Errorf("Verify of an accepted document failed: %v", err)
		}
	})
}
