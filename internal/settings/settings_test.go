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

	"limpethub/internal/strictjson"
)

// TestLoadValidFiles loads each valid file and compares the complete result, defaults
// and warnings included, with its golden file.
func TestLoadValidFiles(t *testing.T) {
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

// TestLoadInvalidFiles compares the errors of each invalid file with its golden file.
func TestLoadInvalidFiles(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
	for _, path := range files(t, "testdata/bad") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			s, err := Load(path)
			if err == nil {
				t.Fatal("the file was accepted, want an error")
			}
			if s.Instance != "" {
				t.Error("got settings together with the error, want zero settings")
			}
			g.Assert(t, filepath.Base(path), []byte(err.Error()+"\n"))
		})
	}
}

func files(t *testing.T, directory string) []string {
	t.Helper()
	paths, err := filepath.Glob(directory + "/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: got %d files and error %v, want at least one file", directory, len(paths), err)
	}
	return paths
}

func TestMissingFile(t *testing.T) {
	if _, err := Load("testdata/none.json"); err == nil || !strings.Contains(err.Error(), "testdata/none.json") {
		t.Errorf("got error %v, want one that names the file", err)
	}
}

func TestDurationsAndAddresses(t *testing.T) {
	s := Default()
	if s.DrainTimeout() != 2*time.Minute || s.EntriesTTL() != 5*time.Second {
		t.Errorf("got drain timeout %v and entries TTL %v, want 2m and 5s", s.DrainTimeout(), s.EntriesTTL())
	}
	l := Listener{Address: "0.0.0.0:1"}
	if l.AdvertisedAddress() != "0.0.0.0:1" {
		t.Error("without advertise: got another address than the listener's, want 0.0.0.0:1")
	}
	l.Advertise = "10.0.0.1:1"
	if l.AdvertisedAddress() != "10.0.0.1:1" {
		t.Error("with advertise: got another address than the advertised one, want 10.0.0.1:1")
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
		t.Errorf("got options %+v and error %v, want watch_ms 20000", options, err)
	}
	var noOptions struct{}
	if err := s.Plugins.Store.Options.Decode(&noOptions); err == nil || !strings.Contains(err.Error(), "full.json:") {
		t.Errorf("unknown option: got error %v, want one that names the file", err)
	}
}

func TestExamples(t *testing.T) {
	for _, site := range []string{"rigline", "tichy-vers"} {
		s, err := Load("../../examples/" + site + "/limpethubd.json")
		if err != nil {
			t.Error(err)
		}
		if warnings := s.Warnings(); len(warnings) != 0 {
			t.Errorf("%s: got warnings %v, want none", site, warnings)
		}
	}
}

// TestFieldsAreDocumented guards against settings that are missing in
// docs/CONFIGURATION.md: the JSON name of each field of the structs below must occur
// somewhere on the page.
func TestFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range []any{Settings{}, Listeners{}, Listener{}, Files{}, Bounds{}, Operators{}, Upstream{}, Plugins{}, Plugin{}, OptionalPlugin{}, MetricsListener{}, Log{}, WorkspaceQuota{}, Callers{}} {
		structType := reflect.TypeOf(value)
		for i := range structType.NumField() {
			name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), name) {
				t.Errorf("%s.%s is missing in docs/CONFIGURATION.md", structType.Name(), name)
			}
		}
	}
}

// FuzzParse checks that Parse never panics and never accepts settings without an
// instance name.
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
			t.Error("settings without an instance name were accepted")
		}
	})
}

// TestCallerBytes guards against callers that may take all of the process's memory, or so little that nobody is served.
func TestCallerBytes(t *testing.T) {
	if got := (Settings{MemoryMB: 128}).CallerBytes(); got != 32*mib {
		t.Errorf("%d bytes without a setting, want a quarter of the memory", got)
	}
	if got := (Settings{}).CallerBytes(); got != 0 {
		t.Errorf("%d bytes without a limit of the memory, want no limit", got)
	}
	if got := (Settings{MemoryMB: 128, Callers: Callers{MaxBytes: 5 * mib}}).CallerBytes(); got != 5*mib {
		t.Errorf("%d bytes with a setting of 5 MiB", got)
	}
	for value, ok := range map[int64]bool{0: true, mib - 1: false, mib: true, 128*mib - 1: true, 128 * mib: false} {
		c := &checker{index: strictjson.NewIndex(&strictjson.Node{})}
		c.checkCallers(&Settings{MemoryMB: 128, Callers: Callers{MaxBytes: value}})
		if got := c.problems.Err() == nil; got != ok {
			t.Errorf("callers.max_bytes %d of 128 MiB: accepted %v, want %v", value, got, ok)
		}
	}
}
