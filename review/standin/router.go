package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// routerProcess is one router, started with the run command of the deploy file.
type routerProcess struct {
	name, address, config string
	command               *exec.Cmd
}

// deployment says what the routers of a case are told.
type deployment struct {
	folder   string // temporary folder
	memoryMB int
	settings string
	known    string
	journal  string
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// write writes a router's configuration file.
func (d *deployment) write(router *routerProcess) error {
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":%q,
"limits":{"cores":1,"memory_mb":%d,"sockets":1024},
"journal":%q,"flow_bytes_per_s":4300000,"link_bytes_per_s":17000000,
"known":%s,
"settings":%s}`, router.name, router.address, newID(), max(d.memoryMB, 32), d.journal, d.known, d.settings)
	next := router.config + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, router.config)
}

// start starts a router and waits until it is ready. It must be called from the root of the project.
func (d *deployment) start(name string) (*routerProcess, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run command")
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	router := &routerProcess{
		name: name, address: address, config: filepath.Join(d.folder, name+".json"),
	}
	if err := d.write(router); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	router.command = exec.Command("/bin/sh", "-c", string(run[1]))
	router.command.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+address, "LB_CONFIG="+router.config)
	router.command.Stdout, router.command.Stderr = out, out
	if err := started.start(router.command); err != nil {
		return nil, err
	}
	return router, awaitHealthy(address)
}

// small returns the settings of a small deployment: one location with caches, a parent and the origin.
func small(routers int) string {
	return fmt.Sprintf(`{
"balancers": %[1]d, "locality": "edge-1", "failureDomains": ["central", "edge-1"], "discovery": "push", "weights": "rough",
"machineTypes": ["cache", "parent", "origin"],
"familyInfo": {"upperKind": 1, "rootKind": 2, "zoneBalancers": [0, %[1]d], "homeHub": [0, 0], "clientKbPerS": 4000,
  "freshForS": [0, 8], "graceForS": [0, 0], "inPieces": [true, false], "neverKept": [false, false],
  "neighbours": "any", "says": "all", "joins": false, "direct": false,
  "parentStartsAt": 0.07, "parentWarmsInS": 20, "parentLimitFactor": 2, "purgeSlackS": 0.3, "purgeTakesS": 6},
"limits": {"attemptsCap": 6, "secondCopies": true, "cancel": true, "mayProbe": false, "retryAfter": true,
  "maxRetryAfterS": 0.5, "dialTimeoutS": 0.4, "connIdleS": 30, "streamsPerConn": 100, "maxOpen": 5000},
"obligations": {"graceToAnswerS": 0.008, "stopSendingWithinS": 0.25, "coldFrom": 0.2, "warmUpS": 17,
  "overloadFactor": 2.5, "fallS": 1.5},
"report": {"source": "inline", "fields": ["outstanding"]},
"profiles": [
  {"name": "video-parts", "effect": "retryable", "keyScope": "all", "onTimeS": 0.4, "aimStretch": 1.6, "deadlineS": 5,
   "points": 2, "lateWorth": 0.15},
  {"name": "stills", "effect": "retryable", "keyScope": "all", "onTimeS": 0.4, "aimStretch": 2, "deadlineS": 2.5,
   "points": 1, "lateWorth": 0.2}]}`, routers)
}

// member returns one entry of the endpoint list.
func member(name, address, zone, kind, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":1,"lifecycle":%q,"weight":64,`+
		`"startedAtMs":0}`, name, address, zone, kind, state)
}

// world is what stands around the routers: caches of one location, a parent, the origin and the journal service.
type world struct {
	caches  []*server
	parent  *server
	origin  *server
	journal *journal
}

func newWorld(log *record, caches int) (*world, error) {
	w := &world{}
	var err error
	if w.journal, err = startJournal(log); err != nil {
		return nil, err
	}
	var entries []string
	for n := range caches {
		cache, err := startServer(fmt.Sprintf("s-%08x", 0xc41f7a+n), log)
		if err != nil {
			return nil, err
		}
		w.caches = append(w.caches, cache)
		entries = append(entries, member(cache.name, cache.address(), "edge-1", "cache", "active"))
	}
	if w.parent, err = startServer("s-parent", log); err != nil {
		return nil, err
	}
	if w.origin, err = startServer("s-origin", log); err != nil {
		return nil, err
	}
	entries = append(entries,
		member(w.parent.name, w.parent.address(), "central", "parent", "active"),
		member(w.origin.name, w.origin.address(), "central", "origin", "active"))
	w.journal.publish(`{"pos":%d,"hosts":{"generation":1,"reset":false,"instances":[` + strings.Join(entries, ",") + `]}}`)
	return w, nil
}

// servers returns all caches, the parent and the origin.
func (w *world) servers() []*server { return append([]*server{w.parent, w.origin}, w.caches...) }
