package config

import (
	"fmt"
	"strings"
	"testing"
)

// Another customer's names are what they are, also where the wire has the same word for something of its own.
func TestNamesAreNotTranslated(t *testing.T) {
	for wire := range words {
		t.Run(wire, func(t *testing.T) {
			raw := fmt.Sprintf(`{"locality":%[1]q,"failureDomains":[%[1]q],"machineTypes":[%[1]q],"profiles":[{"name":%[1]q,"effect":%[1]q}],
				"report":{"fields":[%[1]q]}}`, wire)
			set, err := ParseSettings([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprintf("%v %v %v %v", set["location"], set["locations"], set["kinds"], set["product.names"]); got !=
				strings.ReplaceAll("W [W] [W] [W]", "W", wire) {
				t.Errorf("names %s", got)
			}
			if got := fmt.Sprintf("%v %v", set["product.effect"], set["report.fields"]); got != strings.ReplaceAll("[W] [W]", "W", words[wire]) {
				t.Errorf("words %s", got)
			}
		})
	}
}
