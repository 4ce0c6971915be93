package experiment

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/emulator/certificates"
)

// logged waits for a line of an instance's log.
// logged waits until an instance has logged an event whose line has a part; "" is any event.
func logged(t *testing.T, c *Cluster, name, event, part string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, l := range c.Lines() {
			if l.Instance == name && (event == "" || l.Event == event) && strings.Contains(l.Text, part) {
				return
			}
		}
	}
	t.Fatalf("%s never logged %q, %q", name, event, part)
}

// Keys, roots and voters change in service; a faulty file changes nothing; one that is in no file joins.
func TestReloadOfRealInstances(t *testing.T) {
	c, err := NewCluster(Setup{Core: -1, Binary: build(t), Folder: t.TempDir(), Instances: 4, Caches: 2, Slots: 8,
		Lease: 900 * time.Millisecond, Renewal: 300 * time.Millisecond, Period: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	operate := func(names ...string) {
		t.Helper()
		for _, name := range names {
			must(c.operate(name))
			must(c.Signal(name, syscall.SIGHUP))
		}
	}
	first, last := c.Names[:3], c.Names[3]
	c.voters = "(epoch 1) (now n00 n01 n02)"
	for _, name := range c.Names {
		must(c.operate(name))
	}
	for _, name := range first {
		must(c.Start(name))
	}
	must(c.Settled(t.Context(), 15*time.Second))

	must(os.WriteFile(c.path("n00", ".sx"), []byte("(fleet (nonsense))"), 0o600))
	must(c.Signal("n00", syscall.SIGHUP))
	logged(t, c, "n00", "config_rejected", `"cause":"operator's file`)
	must(c.Settled(t.Context(), time.Second))

	// A new root, beside the old one at first.
	next, err := certificates.NewRoot("next")
	must(err)
	for _, name := range c.Names {
		must(c.root.Write(c.Folder, name, time.Now().Add(time.Hour), c.root, next))
	}
	operate(first...)
	for _, name := range c.Names {
		must(next.Write(c.Folder, name, time.Now().Add(time.Hour), c.root, next))
	}
	operate(first...)
	must(c.Start(last)) // it proves itself by the new root alone, and has no vote
	logged(t, c, last, "leases_acquired", "")
	must(c.Settled(t.Context(), 10*time.Second))

	// The fourth gets a vote; a second change at once is refused.
	time.Sleep(2 * c.Lease)
	c.voters = "(epoch 2) (now n00 n01 n02 n03) (before n00 n01 n02)"
	operate(c.Names...)
	logged(t, c, "n00", "cluster_config_reloaded", `"instances":4,"voter_epoch":2`)
	c.voters = "(epoch 3) (now n01 n02 n03) (before n00 n01 n02 n03)"
	operate("n00")
	logged(t, c, "n00", "voters_kept", "a majority must have been at epoch 2")
	must(c.Settled(t.Context(), 10*time.Second))
	s, err := c.Status(t.Context(), "n00")
	must(err)
	if s.Epoch != 2 || len(s.Voters) != 4 || !s.Majority || s.Targets != 2 {
		t.Errorf("%+v", s)
	}
	must(c.Signal(last, syscall.SIGTERM))
	logged(t, c, last, "leases_lost", "this instance leaves")
	must(c.Settled(t.Context(), 3*time.Second))
}
