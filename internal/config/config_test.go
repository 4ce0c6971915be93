package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tealpath/control"
)

// file is a valid configuration file, whose settings lack what a router needs to start.
const file = `{"name":"n3","listen":"127.0.0.4:10080","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"journal":"127.2.0.1:2379","flow_bytes_per_s":310000,
 "known":{"pos":3,"entries":[]},"settings":{"balancers":4,"limits":{"dialTimeoutS":0.4,"streamsPerConn":100},
 "profiles":[{"name":"stills","deadlineS":2.5,"effect":"retryable"}],"novel":1}}`

// An invalid file must be rejected with an error from which an operator finds the line or the field. Each case
// replaces old by new in file.
func TestParse(t *testing.T) {
	tests := []struct {
		name, old, new string
		err            string // part of the error; empty: none
	}{
		{"unchanged", "", "", ""},
		{"no seed", `"seed":"8c1f30d27a5be964",`, "", ""},
		{"truncated", `"novel":1}}`, "", "line 4: unexpected end"},
		{"not JSON", `"limits":{"cores"`, `"limits":{cores`, "line 2: invalid character"},
		{"a string instead of a number", `"memory_mb":192`, `"memory_mb":"192"`, "line 2: "},
		{"no address to listen on", `"listen":"127.0.0.4:10080",`, "", "listen is missing"},
		{"no address of the discovery service", `"journal":"127.2.0.1:2379",`, "", "journal is missing"},
		{"an address without a port", "127.2.0.1:2379", "127.2.0.1", "journal: address"},
		{"an invalid seed", "8c1f30d27a5be964", "seven", "seed"},
		{"negative limits", "192", "-1", "limits"},
		{"no settings", `"settings"`, `"sets"`, "settings is missing"},
		{"a setting of another type", `"balancers":4`, `"balancers":"4"`, `settings: balancers: unexpected value "4"`},
		{"settings that are a list", `"settings":{"balancers":4,`, `"settings":[4],"x":{`, "settings: "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := Parse([]byte(strings.Replace(file, test.old, test.new, 1)), "", "")
			if test.err != "" {
				if err == nil || !strings.Contains(err.Error(), test.err) {
					t.Errorf("error %v, want %q", err, test.err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got.Name != "n3" || got.MemoryMB != 192 || got.Settings.ResponseBytesPerSecond != 310000 ||
				got.Settings.ConnectTimeout != 4e8 || got.Settings.Classes[0].Idempotency != control.Idempotent {
				t.Errorf("unexpected configuration %+v", got)
			}
		})
	}
	t.Run("the environment takes precedence", func(t *testing.T) {
		got, err := Parse([]byte(file), "n4", "127.0.0.5:1")
		if err != nil || got.Name != "n4" || got.Listen != "127.0.0.5:1" {
			t.Errorf("configuration %+v, error %v; want name n4 and address 127.0.0.5:1", got, err)
		}
	})
}

// Parse returns no error for settings with which no router can start, so that a running router can still apply the
// file's discovery address.
func TestParseAcceptsInvalidSettings(t *testing.T) {
	config, err := Parse([]byte(file), "", "")
	if err != nil {
		t.Fatal(err)
	}
	const want = "setting location is missing\nsetting kinds is missing"
	var settingError *control.SettingError
	if !errors.As(config.SettingsError, &settingError) || config.SettingsError.Error() != want {
		t.Errorf("error of the settings %v, want %s", config.SettingsError, want)
	}
	complete := strings.NewReplacer(
		`{"balancers":4`, `{"balancers":4,"locality":"here","machineTypes":["cache"]`,
		`"deadlineS":2.5`, `"onTimeS":1,"points":1,"deadlineS":2.5`,
	).Replace(file)
	config, err = Parse([]byte(complete), "", "")
	if err != nil || config.SettingsError != nil {
		t.Errorf("error %v, error of the settings %v; want none", err, config.SettingsError)
	}
}

func TestLoadReportsUnreadableFiles(t *testing.T) {
	for _, test := range []struct{ name, path, err string }{
		{"no path", "", "LB_CONFIG is not set"},
		{"no such file", "/nowhere/config.json", "no such file"},
		{"a directory", t.TempDir(), "is a directory"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(func(name string) string { return map[string]string{"LB_CONFIG": test.path}[name] })
			if err == nil || !strings.Contains(err.Error(), test.err) {
				t.Errorf("error %v, want %q", err, test.err)
			}
		})
	}
}

func TestErrorsAreTyped(t *testing.T) {
	parse := func(old, replacement string) error {
		_, err := Parse([]byte(strings.Replace(file, old, replacement, 1)), "", "")
		return err
	}
	var missing *MissingError
	if err := parse(`"settings"`, `"sets"`); !errors.As(err, &missing) || missing.Field != "settings" {
		t.Errorf("error %v, want a *MissingError for settings", err)
	}
	var seed *SeedError
	if err := parse("8c1f30d27a5be964", "seven"); !errors.As(err, &seed) || seed.Seed != "seven" {
		t.Errorf("error %v, want a *SeedError for \"seven\"", err)
	}
	var line *LineError
	err := parse(`"limits":{"cores"`, `"limits":{cores`)
	if !errors.As(err, &line) || line.Line != 2 || errors.Unwrap(line) == nil {
		t.Errorf("error %v, want a *LineError for line 2", err)
	}
	if err := parse("192", "-1"); !errors.Is(err, ErrNegativeLimits) {
		t.Errorf("error %v, want %v", err, ErrNegativeLimits)
	}
	var setting *SettingError
	var value *ValueError
	err = parse(`"dialTimeoutS":0.4`, `"dialTimeoutS":"soon"`)
	if !errors.As(err, &setting) || setting.Key != "limits.dialTimeoutS" {
		t.Errorf("error %v, want a *SettingError for limits.dialTimeoutS", err)
	}
	if !errors.As(err, &value) || value.Value != "soon" {
		t.Errorf("error %v, want a *ValueError for \"soon\"", err)
	}
	err = parse(`{"name":"stills","deadlineS":2.5,"effect":"retryable"}`, "7")
	if !errors.As(err, &setting) || !errors.Is(err, ErrNotAnObject) {
		t.Errorf("error %v, want a *SettingError with %v", err, ErrNotAnObject)
	}
	err = parse(`"limits":{"dialTimeoutS":0.4,"streamsPerConn":100}`, `"limits":7`)
	if !errors.Is(err, ErrNotAnObject) {
		t.Errorf("error %v, want %v", err, ErrNotAnObject)
	}
}

// Reload uses the name and the address of the file, not those of the environment, and rejects a file for another
// router.
func TestReloadAcceptsOnlySameRouter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	getenv := func(name string) string {
		return map[string]string{"LB_CONFIG": path, "LB_NAME": "n9", "LB_LISTEN": "127.0.0.5:1"}[name]
	}
	running, err := Load(getenv)
	if err != nil || running.Name != "n9" {
		t.Fatalf("configuration %+v, error %v; want name n9", running, err)
	}
	var other *OtherRouterError
	_, err = running.Reload(getenv)
	if !errors.As(err, &other) || err.Error() != "configuration "+path+` is for router "n3", this is router "n9"` {
		t.Errorf("error %v, want an *OtherRouterError for n3", err)
	}
	running.Name = "n3"
	next, err := running.Reload(getenv)
	if err != nil || running.RestartRequired(next) != "listen" {
		t.Errorf("configuration %+v, error %v; want a restart for listen only", next, err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{
			"limits and a setting",
			`"memory_mb":192,"sockets":1024},"journal":"127.2.0.1:2379","flow_bytes_per_s":310000`,
			`"memory_mb":193,"sockets":1024},"journal":"127.2.0.1:2379","flow_bytes_per_s":310001`,
			"listen, limits, settings",
		},
		{"a setting", `"dialTimeoutS":0.4`, `"dialTimeoutS":0.5`, "listen, settings"},
		{"a setting that no router uses", `"balancers":4`, `"balancers":4,"selfIndex":2`, "listen, settings"},
		{"an unknown setting", `"novel":1`, `"novel":2`, "listen"},
		{"settings with which no router can start", `"balancers":4,`, ``, "listen, settings"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(strings.Replace(file, c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			next, err := running.Reload(getenv)
			if err != nil || running.RestartRequired(next) != c.want {
				t.Errorf("configuration %+v, error %v; want a restart for %q", next, err, c.want)
			}
		})
	}
	if _, err := running.Reload(func(string) string { return "" }); !errors.Is(err, ErrNoFile) {
		t.Errorf("error %v, want %v", err, ErrNoFile)
	}
}
