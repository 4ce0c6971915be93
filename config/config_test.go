package config

import (
	"strings"
	"testing"
)

const file = `{"name":"n3","listen":"127.0.0.4:10080","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"journal":"127.2.0.1:2379","flow_bytes_per_s":310000,
 "known":{"pos":3,"entries":[]},"settings":{"balancers":4,"limits":{"dialTimeoutS":0.4,"streamsPerConn":100},
 "profiles":[{"name":"stills","deadlineS":2.5,"effect":"retryable"}],"novel":1}}`

func TestParse(t *testing.T) {
	cases := []struct {
		name, old, new string
		err            string
	}{
		{"as told", "", "", ""},
		{"no seed", `"seed":"8c1f30d27a5be964",`, "", ""},
		{"cut short", `"novel":1}}`, "", "line 4: unexpected end"},
		{"not JSON", `"limits":{"cores"`, `"limits":{cores`, "line 2: invalid character"},
		{"a number that is text", `"memory_mb":192`, `"memory_mb":"192"`, "line 2: "},
		{"no address to listen on", `"listen":"127.0.0.4:10080",`, "", "listen is missing"},
		{"no journal service", `"journal":"127.2.0.1:2379",`, "", "journal is missing"},
		{"an address without a port", "127.2.0.1:2379", "127.2.0.1", "journal: address"},
		{"an odd seed", "8c1f30d27a5be964", "seven", "seed"},
		{"negative limits", "192", "-1", "limits"},
		{"no settings", `"settings"`, `"sets"`, "settings is missing"},
		{"a setting of another type", `"balancers":4`, `"balancers":"4"`, `settings: balancers: unexpected value "4"`},
		{"settings that are a list", `"settings":{"balancers":4,`, `"settings":[4],"x":{`, "settings: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Parse([]byte(strings.Replace(file, c.old, c.new, 1)), "", "")
			if c.err != "" {
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("error %v, want %q", err, c.err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got.Name != "n3" || got.MemoryMB != 192 || got.Settings["answer.bytesPerS"] != 310000. || got.Settings["connect.within"] != int64(4e8) ||
				got.Settings["product.effect"].([]string)[0] != "harmless" {
				t.Errorf("%+v", got)
			}
		})
	}
	t.Run("the environment wins", func(t *testing.T) {
		if got, err := Parse([]byte(file), "n4", "127.0.0.5:1"); err != nil || got.Name != "n4" || got.Listen != "127.0.0.5:1" {
			t.Errorf("%+v, %v", got, err)
		}
	})
}

func TestLoad(t *testing.T) {
	for _, c := range []struct{ name, path, err string }{{"not named", "", "LB_CONFIG is not set"},
		{"absent", "/nowhere/config.json", "no such file"}, {"a folder", t.TempDir(), "is a directory"}} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(func(name string) string { return map[string]string{"LB_CONFIG": c.path}[name] })
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("error %v, want %q", err, c.err)
			}
		})
	}
}
