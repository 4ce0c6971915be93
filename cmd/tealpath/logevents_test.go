package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/discovery"
	"tealpath/internal/downstream"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
	"tealpath/internal/server"
)

// root is the path of the repository from this package's directory.
const root = "../.."

// loggingPackages maps the folder of each package that logs to one zero value of each of its events.
// TestAllEventsAreListed fails if a package is missing here.
var loggingPackages = map[string][]logevent.Event{
	"cmd/tealpath":          LogEvents(),
	"control":               control.LogEvents(),
	"internal/cluster":      cluster.LogEvents(),
	"internal/cluster/peer": peer.LogEvents(),
	"internal/discovery":    discovery.LogEvents(),
	"internal/downstream":   downstream.LogEvents(),
	"internal/router":       router.LogEvents(),
	"internal/server":       server.LogEvents(),
}

// eventPages are the pages that describe the events. Each event is described on exactly one of them.
var eventPages = []string{"docs/oncall.md", "docs/oncall-fleet.md"}

// eventHeader is the header row of a table of events.
const eventHeader = "| event | level | fields | meaning | what to do | former text |"

// instanceField is a field that the server adds to the reducer's events about one endpoint. It is in the tables, but
// not in the event's type.
const instanceField = "instance"

var (
	eventName   = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	kindMethods = regexp.MustCompile(`(?m)^func \(\w*\s*\*?\w+\) Kind\(\) logevent\.Kind\b`)
)

// eventRow is the description of one event in a table of eventPages.
type eventRow struct {
	page, level, meaning, action string
	fields                       []string
}

// readEvents reads the tables of events of a page into rows, by event name.
func readEvents(t *testing.T, page string, rows map[string]eventRow) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		t.Fatal(err)
	}
	inTable := false
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		switch {
		case line == eventHeader:
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case inTable && !strings.HasPrefix(line, "| ---"):
			name, row := parseEventRow(t, page, line)
			if other, ok := rows[name]; ok {
				t.Errorf("%s: event %s is already described in %s", page, name, other.page)
			}
			rows[name] = row
		}
	}
}

// parseEventRow reads one row of a table of events.
func parseEventRow(t *testing.T, page, line string) (name string, row eventRow) {
	t.Helper()
	cells := strings.Split(strings.TrimSuffix(strings.TrimPrefix(line, "|"), "|"), "|")
	if len(cells) != strings.Count(eventHeader, "|")-1 {
		t.Fatalf("%s: table row has %d cells, want %d: %s",
			page, len(cells), strings.Count(eventHeader, "|")-1, line)
	}
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	row = eventRow{page: page, level: cells[1], meaning: cells[3], action: cells[4]}
	for field := range strings.SplitSeq(cells[2], ",") {
		field = strings.Trim(strings.TrimSpace(field), "`")
		if field != "" && field != "none" && field != instanceField {
			row.fields = append(row.fields, field)
		}
	}
	return strings.Trim(cells[0], "`"), row
}

// The names, levels and fields of events are the same in the pages' tables and in the code.
func TestEventsAreDescribed(t *testing.T) {
	rows := map[string]eventRow{}
	for _, page := range eventPages {
		readEvents(t, page, rows)
	}
	seen := map[string]string{}
	for folder, events := range loggingPackages {
		for _, event := range events {
			kind := event.Kind()
			if other, ok := seen[kind.Name]; ok {
				t.Errorf("event %s is defined in both %s and %s", kind.Name, other, folder)
			}
			seen[kind.Name] = folder
			checkEvent(t, event, rows[kind.Name])
		}
	}
	for name, row := range rows {
		if _, ok := seen[name]; !ok {
			t.Errorf("%s: no package defines event %s", row.page, name)
		}
	}
}

// checkEvent compares an event with its table row.
func checkEvent(t *testing.T, event logevent.Event, row eventRow) {
	t.Helper()
	kind := event.Kind()
	if !eventName.MatchString(kind.Name) || kind.Message == "" {
		t.Errorf("%T has name %q and message %q, want a snake_case name and a message", event, kind.Name, kind.Message)
	}
	if row.page == "" {
		t.Errorf("event %s (%T) is described in none of %v", kind.Name, event, eventPages)
		return
	}
	if row.level != kind.Level.String() {
		t.Errorf("%s: %s has level %s, in the code %s", row.page, kind.Name, row.level, kind.Level)
	}
	if fields := logevent.FieldNames(event); !slices.Equal(row.fields, fields) {
		t.Errorf("%s: %s has the fields %q, in the code %q", row.page, kind.Name, row.fields, fields)
	}
	if row.meaning == "" || row.action == "" {
		t.Errorf("%s: %s has no text for its meaning or for what to do", row.page, kind.Name)
	}
}

// Each event that the sources define is in the LogEvents of its package, and each package that defines events is in
// loggingPackages.
func TestAllEventsAreListed(t *testing.T) {
	defined := map[string]int{}
	for _, folder := range []string{"cmd", "control", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if count := len(kindMethods.FindAll(raw, -1)); count > 0 {
				relative, err := filepath.Rel(root, filepath.Dir(path))
				if err != nil {
					return err
				}
				defined[filepath.ToSlash(relative)] += count
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for folder, count := range defined {
		if listed := len(loggingPackages[folder]); listed != count {
			t.Errorf("%s defines %d events, but LogEvents lists %d", folder, count, listed)
		}
	}
	for folder := range loggingPackages {
		if defined[folder] == 0 {
			t.Errorf("%s is in loggingPackages but defines no events", folder)
		}
	}
}
