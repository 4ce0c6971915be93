package config

import (
	"fmt"
	"reflect"
	"testing"
)

// Names of locations, kinds and classes are not translated, even if the map words has a translation for the same text.
func TestNamesAreNotTranslated(t *testing.T) {
	for word := range words {
		t.Run(word, func(t *testing.T) {
			raw := fmt.Sprintf(`{"locality":%[1]q,"failureDomains":[%[1]q],"machineTypes":[%[1]q],
				"profiles":[{"name":%[1]q,"effect":%[1]q}],"report":{"fields":[%[1]q]}}`, word)
			settings, err := ParseSettings([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			for key, want := range map[string]any{
				"location":       word,
				"locations":      []string{word},
				"kinds":          []string{word},
				"product.names":  []string{word},
				"product.effect": []string{words[word]},
				"report.fields":  []string{words[word]},
			} {
				if got := settings[key]; !reflect.DeepEqual(got, want) {
					t.Errorf("%s: %#v, want %#v", key, got, want)
				}
			}
		})
	}
}
