package server

import (
	"context"
	"errors"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig"
	"testing"
	"time"
)

// What of a newer operator's file a running instance can't change.
func TestClusterNeedsRestart(t *testing.T) {
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
				t.Error("it is not said that a restart is needed")
			}
		})
	}
	t.Run("a probe's period", func(t *testing.T) {
		present, next := newFile(), newFile()
		present.Cluster.Probe, next.Cluster.Probe = &probe.Config{Period: 1}, &probe.Config{Period: 2}
		if node := (&clusterNode{operator: present}); !node.needsRestart(next) {
			t.Error("it is not said that a restart is needed")
		}
	})
	t.Run("what changes in service", func(t *testing.T) {
		node := &clusterNode{operator: newFile()}
		next := newFile()
		next.Cluster.Weight = 2
		if node.needsRestart(next) {
			t.Error("a restart is asked for")
		}
	})
}

// A newer file that has no cluster any more is refused, and says why.
func TestClusterReloadWithoutFleet(t *testing.T) {
	node := &clusterNode{operator: &operatorconfig.File{Cluster: &operatorconfig.Cluster{}}}
	if err := node.reload(t.Context(), &operatorconfig.File{}); err == nil {
		t.Error("it was taken")
	}
}

// A server's idle connections and whether it shares leases at all are fixed at its start.
func TestOperatorNeedsRestart(t *testing.T) {
	fleet, idle := &operatorconfig.Cluster{}, &operatorconfig.IdleConnections{MaxConnections: 1}
	for _, test := range []struct {
		name          string
		present, next *operatorconfig.File
		shares, want  bool
	}{
		{"no file before", nil, &operatorconfig.File{Cluster: fleet}, false, false},
		{"no file any more", &operatorconfig.File{Cluster: fleet}, nil, true, false},
		{"the same", &operatorconfig.File{Cluster: fleet}, &operatorconfig.File{Cluster: fleet}, true, false},
		{"it shares from now on", &operatorconfig.File{}, &operatorconfig.File{Cluster: fleet}, false, true},
		{"it shares no more", &operatorconfig.File{Cluster: fleet}, &operatorconfig.File{}, true, true},
		{"idle connections", &operatorconfig.File{}, &operatorconfig.File{Idle: idle}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Server{operator: test.present}
			if test.shares {
				s.cluster = &clusterNode{}
			}
			if got := s.operatorNeedsRestart(test.next); got != test.want {
				t.Errorf("needs a restart: %v", got)
			}
		})
	}
}

// A query is answered by the goroutine of the reducer, or fails when its time is up.
func TestAsk(t *testing.T) {
	queries := make(chan chan int)
	go func() { (<-queries) <- 7 }()
	if got, err := ask(t.Context(), queries); err != nil || got != 7 {
		t.Errorf("%v, %v", got, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := ask(ctx, queries); !errors.Is(err, errNoAnswer) {
		t.Errorf("%v", err)
	}
}
