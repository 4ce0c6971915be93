package testcluster_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/emulator/certificates"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/experiment/testcluster/clustertest"
)

// Running instances reload new certificates, roots and voters. A faulty operator's file is rejected and changes
// nothing, and an instance that is not yet a voter joins.
func TestReloadOfRealInstances(t *testing.T) {
	c, err := testcluster.New(testcluster.Config{
		Binary:        clustertest.Build(t, "tealpath"),
		Dir:           t.TempDir(),
		Instances:     4,
		Caches:        2,
		Slots:         8,
		LeaseDuration: 900 * time.Millisecond,
		RenewInterval: 300 * time.Millisecond,
		ProbePeriod:   time.Second,
	})
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
	reloadOperatorFiles := func(names ...string) {
		t.Helper()
		for _, name := range names {
			must(c.WriteOperatorFile(name))
			must(c.Signal(name, syscall.SIGHUP))
		}
	}
	first, last := c.Names[:3], c.Names[3]
	c.SetVoters("(epoch 1) (now n00 n01 n02)")
	for _, name := range c.Names {
		must(c.WriteOperatorFile(name))
	}
	for _, name := range first {
		must(c.Start(name))
	}
	must(c.WaitForAllSlotsLeased(t.Context(), 15*time.Second))

	must(os.WriteFile(c.Path("n00", ".sx"), []byte("(fleet (nonsense))"), 0o600))
	must(c.Signal("n00", syscall.SIGHUP))
	clustertest.WaitForLog(t, c, "n00", "operator_config_rejected", `"cause":"operator's file`)
	must(c.WaitForAllSlotsLeased(t.Context(), time.Second))

	// Instances trust a new root in addition to the old one, and then get certificates of the new root.
	next, err := certificates.NewRoot("next")
	must(err)
	for _, name := range c.Names {
		must(c.Root.Write(c.Dir, name, time.Now().Add(time.Hour), c.Root, next))
	}
	reloadOperatorFiles(first...)
	for _, name := range c.Names {
		must(next.Write(c.Dir, name, time.Now().Add(time.Hour), c.Root, next))
	}
	reloadOperatorFiles(first...)
	must(c.Start(last)) // its certificate is of the new root only, and it is not a voter
	clustertest.WaitForLog(t, c, last, "leases_acquired", "")
	must(c.WaitForAllSlotsLeased(t.Context(), 10*time.Second))

	// The fourth instance becomes a voter. Another change of voters right after that is rejected.
	time.Sleep(2 * c.LeaseDuration)
	c.SetVoters("(epoch 2) (now n00 n01 n02 n03) (before n00 n01 n02)")
	reloadOperatorFiles(c.Names...)
	clustertest.WaitForLog(t, c, "n00", "cluster_config_reloaded", `"instances":4,"voter_epoch":2`)
	c.SetVoters("(epoch 3) (now n01 n02 n03) (before n00 n01 n02 n03)")
	reloadOperatorFiles("n00")
	clustertest.WaitForLog(t, c, "n00", "voters_kept", "a majority must have been at epoch 2")
	must(c.WaitForAllSlotsLeased(t.Context(), 10*time.Second))
	s, err := c.LeaseStatus(t.Context(), "n00")
	must(err)
	if s.Epoch != 2 || len(s.Voters) != 4 || !s.Majority || s.Targets != 2 {
		t.Errorf("lease status of n00 is %+v, want epoch 2, 4 voters, a majority and 2 targets", s)
	}
	must(c.Signal(last, syscall.SIGTERM))
	clustertest.WaitForLog(t, c, last, "leases_lost", "this instance leaves")
	must(c.WaitForAllSlotsLeased(t.Context(), 3*time.Second))
}
