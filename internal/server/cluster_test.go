package server

import (
	"context"
	"errors"
	"testing"
	"time"

	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig"
)

// Changes that a running instance can't apply must be reported, or an operator would take them to be in effect.
func TestClusterChangesThatNeedARestart(t *testing.T) {
	newFile := func() *operatorconfig.File {
		return &operatorconfig.File{
			SocketPath: "socket",
			Cluster: &operatorconfig.Cluster{
				Slots:           8,
				LeaseDuration:   9,
				RenewalInterval: 3,
				MaxClockDrift:   0.01,
				Listen:          "127.0.0.1:1",
				Weight:          1,
			},
		}
	}
	for name, change := range map[string]func(*operatorconfig.File){
		"slots":      func(file *operatorconfig.File) { file.Cluster.Slots++ },
		"lease":      func(file *operatorconfig.File) { file.Cluster.LeaseDuration++ },
		"renewal":    func(file *operatorconfig.File) { file.Cluster.RenewalInterval++ },
		"drift":      func(file *operatorconfig.File) { file.Cluster.MaxClockDrift *= 2 },
		"listen":     func(file *operatorconfig.File) { file.Cluster.Listen = "127.0.0.1:2" },
		"membership": func(file *operatorconfig.File) { file.Cluster.Membership.HeartbeatInterval++ },
		"socket":     func(file *operatorconfig.File) { file.SocketPath = "other" },
		"probe":      func(file *operatorconfig.File) { file.Cluster.Probe = &probe.Config{} },
	} {
		t.Run(name, func(t *testing.T) {
			node := &clusterNode{operator: newFile()}
			next := newFile()
			change(next)
			if !node.needsRestart(next) {
				t.Errorf("a change of %s needs no restart, want one", name)
			}
		})
	}
	t.Run("a probe's period", func(t *testing.T) {
		present, next := newFile(), newFile()
		present.Cluster.Probe, next.Cluster.Probe = &probe.Config{Period: 1}, &probe.Config{Period: 2}
		if node := (&clusterNode{operator: present}); !node.needsRestart(next) {
			t.Error("a change of the probe's period needs no restart, want one")
		}
	})
	t.Run("the weight, which needs no restart", func(t *testing.T) {
		node := &clusterNode{operator: newFile()}
		next := newFile()
		next.Cluster.Weight = 2
		if node.needsRestart(next) {
			t.Error("a change of the weight needs a restart, want none")
		}
	})
}

// An instance can't leave its cluster by a reload, so it rejects a newer operator's file without a cluster.
func TestClusterReloadRejectsFileWithoutCluster(t *testing.T) {
	node := &clusterNode{operator: &operatorconfig.File{Cluster: &operatorconfig.Cluster{}}}
	if err := node.reload(t.Context(), &operatorconfig.File{}); !errors.Is(err, errNoCluster) {
		t.Errorf("error %v, want %v", err, errNoCluster)
	}
}

// A restart is needed if a newer operator's file differs in the settings of idle connections, or if only one of the
// two files has a cluster.
func TestOperatorConfigChangesThatNeedARestart(t *testing.T) {
	withCluster := &operatorconfig.File{Cluster: &operatorconfig.Cluster{}}
	withIdle := &operatorconfig.File{Idle: &operatorconfig.IdleConnections{MaxConnections: 1}}
	empty := &operatorconfig.File{}
	for _, test := range []struct {
		name          string
		before, after *operatorconfig.File
		want          bool
	}{
		{"no file before", nil, withCluster, false},
		{"no file after", withCluster, nil, false},
		{"no change", withCluster, withCluster, false},
		{"a cluster is added", empty, withCluster, true},
		{"the cluster is removed", withCluster, empty, true},
		{"settings of idle connections are added", empty, withIdle, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Server{operator: test.before}
			if test.before == withCluster {
				s.cluster = &clusterNode{}
			}
			if got := s.operatorNeedsRestart(test.after); got != test.want {
				t.Errorf("needs a restart: %v, want %v", got, test.want)
			}
		})
	}
}

// A query returns the answer of the cluster's loop, or fails with errNoAnswer when its context ends.
func TestQueryOfTheClusterLoop(t *testing.T) {
	queries := make(chan chan int)
	go func() { (<-queries) <- 7 }()
	if got, err := query(t.Context(), queries); err != nil || got != 7 {
		t.Errorf("answer %v, error %v; want 7 and no error", got, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := query(ctx, queries); !errors.Is(err, errNoAnswer) {
		t.Errorf("error %v, want %v", err, errNoAnswer)
	}
}
