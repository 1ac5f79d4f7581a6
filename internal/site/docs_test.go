package site

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestEveryFieldIsDocumented guards against configuration fields that are missing in
// docs/CONFIGURATION.md, which must contain the JSON name of each.
func TestEveryFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, configType := range []any{Document{}, Class{}, Model{}, Adapter{}, Server{}, Service{}, Budgets{}} {
		fields := reflect.TypeOf(configType)
		for i := range fields.NumField() {
			name, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("field %s.%s is missing in docs/CONFIGURATION.md", fields.Name(), name)
			}
		}
	}
}
