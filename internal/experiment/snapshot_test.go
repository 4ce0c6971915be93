package experiment

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A real router is killed, the world changes, and it starts again from what it kept: the list is used only once the service
// has confirmed it, a cache that drained meanwhile gets nothing, and what is torn, another's or newer is passed over.
func TestRestartFromSnapshot(t *testing.T) {
	binary := build(t)
	for _, c := range []struct {
		name   string
		change func(t *testing.T, c *Cluster, file string)
		event  string // in the log
		part   string // of its line
		behind int    // what the list service is asked behind, in the end
	}{
		{"as it was", func(*testing.T, *Cluster, string) {}, "snapshot_list_confirmed", "", 0},
		{"a cache drained", func(t *testing.T, c *Cluster, _ string) {
			c.journal.Publish(strings.Replace(c.line(0), "active", "leaving", 1))
		}, "snapshot_list_confirmed", "", 0},
		{"torn", func(t *testing.T, _ *Cluster, file string) {
			if err := os.Truncate(file, 200); err != nil {
				t.Fatal(err)
			}
		}, "snapshot_ignored", `"cause":"torn`, 0},
		{"of a newer program", func(t *testing.T, _ *Cluster, file string) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			raw[len("tealpath snapshot\n")+3] = 9
			if err := os.WriteFile(file, raw, 0o600); err != nil {
				t.Fatal(err)
			}
		}, "snapshot_ignored", `"cause":"it is of version 9`, 0},
		{"the service began anew", func(t *testing.T, c *Cluster, _ string) {
			c.journal.Reset()
			c.journal.Publish(strings.Replace(c.line(1), `"generation":3`, `"generation":4,"reset":true`, 1))
		}, "startup_phase_changed", `"phase":"warming"`, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x, err := NewCluster(Setup{Core: -1, Binary: binary, Folder: t.TempDir(), Instances: 1, Caches: 2, Unknown: true,
				File: `(socket "%s") (snapshot (file "kept") (every 1s))`})
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			x.journal.Publish(`{"pos":%d,"expire":{"set":3,"stamp":1}}`)
			name := x.Names[0]
			if err := x.Start(name); err != nil {
				t.Fatal(err)
			}
			load := Load{Rate: 100, Addresses: []string{x.clients[name]}, Each: 1}
			serve := func() LoadResult {
				t.Helper()
				for end := time.Now().Add(10 * time.Second); !health(x.clients[name]); time.Sleep(20 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("its health is never good")
					}
				}
				r, err := load.Run(t.Context(), 1200*time.Millisecond)
				if err != nil {
					t.Fatal(err)
				}
				return r
			}
			serve()
			file := x.path("kept", "")
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				if _, err := os.Stat(file); err == nil {
					break
				} else if time.Now().After(end) {
					t.Fatal(err)
				}
			}
			if err := x.Signal(name, syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			x.waitGone(name, x.life(name))
			before := x.Caches[0].Fetches()
			c.change(t, x, file)
			if err := x.Start(name); err != nil {
				t.Fatal(err)
			}
			r := serve()
			logged(t, x, name, c.event, c.part)
			if r.Settled < r.Sent*9/10 || r.Lost > 0 {
				t.Errorf("%+v", r)
			}
			if got := x.Caches[0].Fetches(); c.name == "a cache drained" && got != before || c.name == "as it was" && got == before {
				t.Errorf("the first cache was asked %d times before the restart, %d in all", before, got)
			}
			calls := x.journal.Calls()
			if confirmed := c.event == "snapshot_list_confirmed"; confirmed != (calls[len(calls)-1].LastEventID == 1) && c.behind == 0 {
				t.Errorf("the last call asked behind %d", calls[len(calls)-1].LastEventID)
			}
		})
	}
}
