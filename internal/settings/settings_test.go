package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestGood loads each good file and compares all of it, defaults included.
func TestGood(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/good"))
	for _, path := range files(t, "testdata/good") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			s, err := Load(path)
			if err != nil {
				t.Fatal(err)
			}
			data, err := json.MarshalIndent(struct {
				Settings Settings
				Warnings []string
			}{s, s.Warnings()}, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			g.Assert(t, filepath.Base(path), data)
		})
	}
}

// TestBad compares the errors of each bad file.
func TestBad(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
	for _, path := range files(t, "testdata/bad") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			s, err := Load(path)
			if err == nil {
				t.Fatal("was accepted")
			}
			if s.Instance != "" {
				t.Error("settings were returned with the error")
			}
			g.Assert(t, filepath.Base(path), []byte(err.Error()+"\n"))
		})
	}
}

func files(t *testing.T, directory string) []string {
	t.Helper()
	paths, err := filepath.Glob(directory + "/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %d files, %v", directory, len(paths), err)
	}
	return paths
}

func TestMissingFile(t *testing.T) {
	if _, err := Load("testdata/none.json"); err == nil || !strings.Contains(err.Error(), "testdata/none.json") {
		t.Errorf("got %v", err)
	}
}

func TestDurationsAndAddresses(t *testing.T) {
	s := Default()
	if s.DrainTimeout() != 2*time.Minute || s.EntriesTTL() != 5*time.Second {
		t.Errorf("drain %v, entries %v", s.DrainTimeout(), s.EntriesTTL())
	}
	l := Listener{Address: "0.0.0.0:1"}
	if l.AdvertisedAddress() != "0.0.0.0:1" {
		t.Error("address without advertise")
	}
	l.Advertise = "10.0.0.1:1"
	if l.AdvertisedAddress() != "10.0.0.1:1" {
		t.Error("advertise is not used")
	}
}

func TestPluginOptionsAreStrict(t *testing.T) {
	data, err := os.ReadFile("testdata/good/full.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("full.json", data)
	if err != nil {
		t.Fatal(err)
	}
	var options struct {
		WatchMillis int64 `json:"watch_ms"`
	}
	if err := s.Plugins.Store.Options.Decode(&options); err != nil || options.WatchMillis != 20_000 {
		t.Errorf("options %+v, %v", options, err)
	}
	var none struct{}
	if err := s.Plugins.Store.Options.Decode(&none); err == nil || !strings.Contains(err.Error(), "full.json:") {
		t.Errorf("an unknown option gave %v", err)
	}
}

func TestExamples(t *testing.T) {
	for _, site := range []string{"rigline", "tichy-vers"} {
		s, err := Load("../../examples/" + site + "/limpethubd.json")
		if err != nil {
			t.Error(err)
		}
		if warnings := s.Warnings(); len(warnings) != 0 {
			t.Errorf("%s: %v", site, warnings)
		}
	}
}

// TestEveryFieldIsDocumented looks for each field's name in docs/CONFIGURATION.md.
func TestEveryFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range []any{Settings{}, Listeners{}, Listener{}, Files{}, Bounds{}, Operators{}, Upstream{}, Plugins{}, Plugin{}, OptionalPlugin{}, MetricsListener{}, Log{}} {
		fields := reflect.TypeOf(value)
		for i := range fields.NumField() {
			name, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), name) {
				t.Errorf("%s.%s is not on the page", fields.Name(), name)
			}
		}
	}
}

// FuzzParse shows that no text makes the reader panic.
func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob("testdata/*/*.json")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil && s.Instance == "" {
			t.Error("settings without a name were accepted")
		}
	})
}
