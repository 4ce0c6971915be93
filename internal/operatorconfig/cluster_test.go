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

// validFile is a valid operator's file for the instances a, b and c. Its paths are relative to the folder that
// keyFolder returns.
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

// keyFolder returns a folder with keys and certificates for the instances a and b, and with old.key and old.pem, whose
// certificate has expired.
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
			t.Errorf("%s is %v, want %v", c.name, c.got, c.want)
		}
	}
}

func TestEmptyFileIsValid(t *testing.T) {
	if _, err := Parse("", "a", t.TempDir()); err != nil {
		t.Error(err)
	}
}

// Health checks must be allowed by the deployment's settings, which also contain the load limits of endpoints in slow
// start.
func TestApplySettingsToHealthChecks(t *testing.T) {
	file, err := Parse(validFile, "a", keyFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	limit := probe.ColdLimit{Share: 0.5}
	if err := file.ApplySettings(false, limit, limit); err == nil || !strings.HasPrefix(err.Error(), "9:3: ") {
		t.Errorf("error %v for health checks that are not allowed, want one at 9:3", err)
	}
	if err := file.ApplySettings(true, limit, probe.ColdLimit{}); err != nil {
		t.Error(err)
	}
	if got := file.Cluster.Probe.Cache; got != limit {
		t.Errorf("load limit of caches %+v, want %+v", got, limit)
	}
}

// invalidFiles contains invalid variants of validFile, in which old is replaced by new. want is a part of the error.
var invalidFiles = []struct{ name, old, new, want string }{
	{"unknown key", "(slots 32)", "(slot 32)", "6:3: unknown key slot in (fleet …), allowed keys: allow, drift"},
	{
		"lease shorter than three renewal intervals", "(lease 1500ms)", "(lease 1400ms)",
		"6:14: the lease of 1.4s is shorter than three renewal intervals of 500ms",
	},
	{"no voters", "(now a b c)", "(now)", "5:3: no voters: at least one is needed"},
	{"voter that is no instance", "(now a b c)", "(now a b d)", "5:3: voter d is not in (instances …)"},
	{"voter twice", "(now a b c)", "(now a b b)", "5:3: voter b is named twice"},
	{
		"change of more than one voter", "(epoch 1) (now a b c)", "(epoch 2) (now a b c) (before a)",
		"5:3: voters change by one at a time",
	},
	{
		"no previous voters", "(epoch 1)", "(epoch 2)",
		"5:3: epoch 2 requires (before …) with the voters of epoch 1",
	},
	{
		"own name missing", "(instance a ", "(instance x ",
		"3:1: this instance, a, is not in (instances …), so (listen ADDRESS) is required",
	},
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
		"address that is not allowed", "127.0.0.1:7102", "192.0.2.1:7102",
		"(allow …) does not contain the address 192.0.2.1:7102 of instance b",
	},
	{
		"host name", "127.0.0.1:7102", "localhost:7102",
		`at: "localhost:7102" is invalid, want an IP address with a port, such as 127.0.0.1:7101`,
	},
	{
		"same address", "127.0.0.1:7102", "127.0.0.1:7101",
		"instance b has the same address 127.0.0.1:7101 as instance a",
	},
	{
		"network with address bits", "127.0.0.0/8", "127.0.0.1/8",
		`8:10: allow: "127.0.0.1/8" has address bits set after the prefix, want 127.0.0.0/8`,
	},
	{
		"malformed network", "127.0.0.0/8", "127/8",
		`8:10: allow: "127/8" is invalid, want an IP address, a network or a range of addresses`,
	},
	{
		"duration without unit", "(lease 1500ms)", "(lease 1500)",
		"6:21: lease: 1500 is invalid, want a duration such as 1500ms or 2s",
	},
	{"number too large", "(slots 32)", "(slots 5000)", "6:10: slots: 5000 is out of range, want 1 to 4096"},
	{
		"duplicate key", "(slots 32)", "(slots 32) (slots 33)",
		"6:14: duplicate key slots in (fleet …), first used at line 6",
	},
	{"missing key", "(allow ", "(deny ", "(allow …) is missing in (fleet …)"},
	{
		"cold part too large", "(cold-part 5%)", "(cold-part 40%)",
		"9:3: the cold part is 0.4, must be above 0 and at most 0.3",
	},
	{
		"probe timeout longer than the period", "(within 500ms)", "(within 2s)",
		"9:3: the probe timeout of 2000 ms is longer than the period of 1000 ms",
	},
	{
		"silence timeout shorter than two heartbeat intervals", "(slots 32)", "(membership (interval 1s) (silence 1500ms))",
		"6:3: the silence timeout of 1.5s is shorter than two heartbeat intervals of 1s",
	},
	{
		"silence timeout shorter than two default heartbeat intervals", "(slots 32)", "(membership (silence 900ms))",
		"6:3: the silence timeout of 900ms is shorter than two heartbeat intervals of 500ms",
	},
	{"unknown key in a nested list", "(slots 32)", "(membership (probes 3))", "6:15: unknown key probes"},
	{"unclosed list", "(cost 1ms)))", "(cost 1ms))", "3:1: unclosed ("},
	{"unmatched parenthesis", "(cost 1ms)))", "(cost 1ms))))", "9:64: unmatched )"},
	{"unclosed text", `"a.pem"`, `"a.pem`, `the quoted text is not closed on its line`},
	{"word outside of a list", "; three instances", "three", "1:1: three is not in a list"},
	{"not UTF-8", "three", "\xff", "1:3: byte 0xff is not valid UTF-8"},
	{"unknown escape", `"a.pem"`, `"a\q"`, `unknown escape: \ before 'q', allowed are \" \\ \n \t`},
}

func TestErrorsNamePositionAndReason(t *testing.T) {
	dir := keyFolder(t)
	for _, tc := range invalidFiles {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validFile, tc.old, tc.new, 1)
			if text == validFile {
				t.Fatalf("validFile does not contain %q", tc.old)
			}
			_, err := Parse(text, "a", dir)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one with %q", err, tc.want)
			}
		})
	}
	_, err := Parse(strings.NewReplacer("(slots 32)", "(slot 1)", "1500ms", "1ms").Replace(validFile), "a", dir)
	if err == nil || len(strings.Split(err.Error(), "\n")) < 2 {
		t.Errorf("the file has two errors, but only this is reported: %v", err)
	}
}

func TestErrorsNameKeyValueAndAllowedValues(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		want           Error
	}{
		{
			"wrong kind of value", "(lease 1500ms)", "(lease 1500)",
			Error{
				Position: sexpr.Position{Line: 6, Column: 21},
				Key:      "lease",
				Value:    "1500",
				Allowed:  "a duration such as 1500ms or 2s",
			},
		},
		{
			"value out of range", "(slots 32)", "(slots 5000)",
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
				t.Fatalf("error %v of type %T, want an *Error", err, err)
			}
			tc.want.Reason = got.Reason
			if *got != tc.want {
				t.Errorf("error %+v, want %+v", *got, tc.want)
			}
		})
	}
}
