package site

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestEveryFieldIsDocumented looks for each field's name in docs/CONFIGURATION.md.
func TestEveryFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range []any{Document{}, Class{}, Model{}, Adapter{}, Server{}, Service{}, Budgets{}} {
		fields := reflect.TypeOf(value)
		for i := range fields.NumField() {
			name, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s.%s is not on the page", fields.Name(), name)
			}
		}
	}
}
