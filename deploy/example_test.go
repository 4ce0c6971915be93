package deploy

import (
	"os"
	"testing"

	"tealpath/internal/config"
	"tealpath/internal/server"
)

// The README uses config.example.json for the first run. A router must be able to start with it.
func TestExampleConfigurationIsUsable(t *testing.T) {
	text, err := os.ReadFile("config.example.json")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.Parse(text, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Check(parsed); err != nil {
		t.Error(err)
	}
}
