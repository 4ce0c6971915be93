package operatorconfig

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tealpath/internal/cluster/probe"
	"tealpath/internal/emulator/certificates"
	"tealpath/internal/operatorconfig/sexpr"
)

// validFile is an operator's file for the instances a, b and c. Its folder is keyFolder.
const validFile = `; three instances
(socket "a.sock")
(fleet
  (instances (instance a (at "127.0.0.1:7101")) (instance b (at "127.0.0.1:7102") (weight 2)) (instance c (at "127.0.0.1:7103")))
  (voters (epoch 1) (now a b c))
  (slots 32) (lease 1500ms) (renewal 500ms) (drift 1%)
  (tls (certificate "a.pem") (key "a.key") (roots "roots.pem"))
  (allow "127.0.0.0/8" "10.0.0.1-10.0.0.9" "::1")
  (probe (period 1s) (within 500ms) (cold-part 5%) (cost 1ms)))
`

// keyFolder returns a folder with keys and certificates for the instances a and b, and an expired certificate.
func keyFolder(t *testing.T) string {
	t.Helper()
	root, err := certificates.NewRoot("root")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, name := range []string{"a", "b"} {
		if err := root.Write(dir, name, time.Now().Add(time.Hour), root); err != nil {
			t.Fatal(err)
		}
	}
	if err := root.Write(dir, "old", time.Now().Add(-time.Hour), root); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestClusterIsDecoded(t *testing.T) {
	dir := keyFolder(t)
	file, err := Parse(validFile, "a", dir)
	if err != nil {
		t.Fatal(err)
	}
	settings := file.Cluster
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"socket", file.SocketPath, filepath.Join(dir, "a.sock")},
		{"slots", settings.Slots, 32},
		{"lease", settings.LeaseDuration, int64(1500 * time.Millisecond)},
		{"renewal", settings.RenewalInterval, int64(500 * time.Millisecond)},
		{"drift", settings.MaxClockDrift, 0.01},
		{"instances", len(settings.Instances), 3},
		{"weight of b", settings.Instances[1].Weight, 2.0},
		{"own address", settings.Listen, "127.0.0.1:7101"},
		{"cold part", settings.Probe.ColdPart, 0.05},
		{"cost of a probe", settings.Probe.Cost, 0.001},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
}

func TestEmptyFileIsValid(t *testing.T) {
	if _, err := Parse("", "a", t.TempDir()); err != nil {
		t.Error(err)
	}
}

// Health checks need to be allowed by the settings, which also have the limits of endpoints in slow start.
func TestApplySettingsToHealthChecks(t *testing.T) {
	file, err := Parse(validFile, "a", keyFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	limit := probe.ColdLimit{Share: 0.5}
	if err := file.ApplySettings(false, limit, limit); err == nil || !strings.HasPrefix(err.Error(), "9:3: ") {
		t.Errorf("health checks that are not allowed: %v", err)
	}
	if err := file.ApplySettings(true, limit, probe.ColdLimit{}); err != nil {
		t.Error(err)
	}
	if got := file.Cluster.Probe.Cache; got != limit {
		t.Errorf("limit %+v, want %+v", got, limit)
	}
}

// invalidFiles are changes of validFile, each with a part of the error that it causes.
var invalidFiles = []struct{ name, old, new, want string }{
	{"unknown word", "(slots 32)", "(slot 32)", "6:3: unknown word slot in (fleet …); known are allow, drift"},
	{
		"lease shorter than three renewals", "(lease 1500ms)", "(lease 1400ms)",
		"6:14: the lease of 1.4s is shorter than three renewals of 500ms",
	},
	{"a majority of none", "(now a b c)", "(now)", "5:3: no voters: at least one is needed"},
	{"voter unknown", "(now a b c)", "(now a b d)", "5:3: voter d is not among the instances"},
	{"voter twice", "(now a b c)", "(now a b b)", "5:3: voter b is named twice"},
	{
		"two changes of voters", "(epoch 1) (now a b c)", "(epoch 2) (now a b c) (before a)",
		"5:3: voters change by one at a time",
	},
	{"no set before", "(epoch 1)", "(epoch 2)", "5:3: epoch 2 needs (before …)"},
	{"own name missing", "(instance a ", "(instance x ", "3:1: a is not among the instances"},
	{
		"key of another certificate", `"a.key"`, `"b.key"`,
		"7:3: certificate and key: tls: private key does not match public key",
	},
	{
		"certificate of another name", `"a.pem") (key "a.key"`, `"b.pem") (key "b.key"`,
		`7:3: the certificate is not valid for the name "a"`,
	},
	{"expired certificate", `"a.pem") (key "a.key"`, `"old.pem") (key "old.key"`, "expired"},
	{"missing file", `"roots.pem"`, `"none.pem"`, "7:3: roots: "},
	{
		"address outside the sets", "127.0.0.1:7102", "192.0.2.1:7102",
		"the address 192.0.2.1:7102 of b is outside the allowed sets",
	},
	{"no address", "127.0.0.1:7102", "localhost:7102", `is no address such as 127.0.0.1:7101`},
	{"same address", "127.0.0.1:7102", "127.0.0.1:7101", "instance b has the address of a"},
	{"network with bits", "127.0.0.0/8", "127.0.0.1/8", `8:10: "127.0.0.1/8" has bits behind its length`},
	{"no network", "127.0.0.0/8", "127/8", `8:10: "127/8" is no address, network or range`},
	{"time without unit", "(lease 1500ms)", "(lease 1500)", "6:21: 1500 is no time such as 1500ms or 2s"},
	{"number too large", "(slots 32)", "(slots 5000)", "6:10: 5000: 1 to 4096 can be"},
	{"twice", "(slots 32)", "(slots 32) (slots 33)", "6:14: slots stands at line 6 already"},
	{"lacking", "(allow ", "(deny ", "(fleet …) lacks (allow …)"},
	{"probe part", "(cold-part 5%)", "(cold-part 40%)", "9:3: the cold part is 0.4, must be above 0 and at most 0.3"},
	{
		"probe slower than its period", "(within 500ms)", "(within 2s)",
		"9:3: the probe timeout of 2000 ms is longer than the period of 1000 ms",
	},
	{
		"silence of less than two intervals", "(slots 32)", "(membership (interval 1s) (silence 1500ms))",
		"6:3: the silence of 1.5s is shorter than two intervals of 1s",
	},
	{
		"silence beside the renewal", "(slots 32)", "(membership (silence 900ms))",
		"6:3: the silence of 900ms is shorter than two intervals of 500ms",
	},
	{"unknown word of membership", "(slots 32)", "(membership (probes 3))", "6:15: unknown word probes"},
	{"no end", "(cost 1ms)))", "(cost 1ms))", "3:1: this ( has no )"},
	{"no beginning", "(cost 1ms)))", "(cost 1ms))))", "9:64: a ) without its ("},
	{"open text", `"a.pem"`, `"a.pem`, `has no end on its line`},
	{"word outside", "; three instances", "three", "1:1: three stands outside any list"},
	{"not UTF-8", "three", "\xff", "1:3: this is not UTF-8"},
	{"escape", `"a.pem"`, `"a\q"`, `after \ only`},
}

func TestErrorsNamePositionAndReason(t *testing.T) {
	dir := keyFolder(t)
	for _, tc := range invalidFiles {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validFile, tc.old, tc.new, 1)
			if text == validFile {
				t.Fatal("the replacement changes nothing")
			}
			_, err := Parse(text, "a", dir)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%v, want %q", err, tc.want)
			}
		})
	}
	_, err := Parse(strings.NewReplacer("(slots 32)", "(slot 1)", "1500ms", "1ms").Replace(validFile), "a", dir)
	if err == nil || len(strings.Split(err.Error(), "\n")) < 2 {
		t.Errorf("two faults are not both reported: %v", err)
	}
}

func TestErrorsNameKeyValueAndAllowedValues(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		want           Error
	}{
		{
			"wrong kind", "(lease 1500ms)", "(lease 1500)",
			Error{
				Position: sexpr.Position{Line: 6, Column: 21},
				Key:      "lease",
				Value:    "1500",
				Allowed:  "time such as 1500ms or 2s",
			},
		},
		{
			"out of range", "(slots 32)", "(slots 5000)",
			Error{
				Position: sexpr.Position{Line: 6, Column: 10},
				Key:      "slots",
				Value:    "5000",
				Allowed:  "1 to 4096",
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse(strings.Replace(validFile, tc.old, tc.new, 1), "a", keyFolder(t))
			var got *Error
			if !errors.As(err, &got) {
				t.Fatalf("error %v of type %T", err, err)
			}
			tc.want.Reason = got.Reason
			if *got != tc.want {
				t.Errorf("%+v, want %+v", *got, tc.want)
			}
		})
	}
}
