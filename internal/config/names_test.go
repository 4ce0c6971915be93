package config

import (
	"fmt"
	"reflect"
	"testing"
)

// Names of locations, kinds and classes are not translated, even if one is the same as a word that is.
func TestNamesAreNotTranslated(t *testing.T) {
	for wire := range words {
		t.Run(wire, func(t *testing.T) {
			raw := fmt.Sprintf(`{"locality":%[1]q,"failureDomains":[%[1]q],"machineTypes":[%[1]q],
				"profiles":[{"name":%[1]q,"effect":%[1]q}],"report":{"fields":[%[1]q]}}`, wire)
			settings, err := ParseSettings([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			for key, want := range map[string]any{
				"location":       wire,
				"locations":      []string{wire},
				"kinds":          []string{wire},
				"product.names":  []string{wire},
				"product.effect": []string{words[wire]},
				"report.fields":  []string{words[wire]},
			} {
				if got := settings[key]; !reflect.DeepEqual(got, want) {
					t.Errorf("%s: %#v, want %#v", key, got, want)
				}
			}
		})
	}
}
