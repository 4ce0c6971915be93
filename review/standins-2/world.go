package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// deployment is what a router is told, in the form of the platform's pages, with figures of a small deployment.
type deployment struct {
	routers   int
	memoryMB  int
	sockets   int
	seed      string
	profiles  []map[string]any
	family    map[string]any
	limits    map[string]any
	rules     map[string]any
	report    []string
	flowBytes int
}

func smallDeployment() deployment {
	return deployment{
		routers: 1, memoryMB: 192, sockets: 1024, seed: "8c1f30d27a5be964", flowBytes: 4_300_000,
		profiles: []map[string]any{
			{"name": "video-parts", "effect": "retryable", "deadlineS": 5.0, "onTimeS": 0.4, "points": 2.0, "lateWorth": 0.15, "aimStretch": 1.6, "keyScope": "all", "dedupWindowS": 5.0, "streamed": false},
			{"name": "stills", "effect": "retryable", "deadlineS": 2.5, "onTimeS": 0.4, "points": 1.0, "lateWorth": 0.2, "aimStretch": 2.0, "keyScope": "all", "dedupWindowS": 5.0, "streamed": false},
		},
		family: map[string]any{
			"clientKbPerS": 4300.0, "direct": false, "feedKbPerS": []float64{0, 0}, "freshForS": []float64{0, 8},
			"graceForS": []float64{0, 0}, "homeHub": []int{0, 0}, "inPieces": []bool{true, false}, "joins": false,
			"neighbours": "any", "neverKept": []bool{false, false}, "originFallMultiple": 0.0,
			"parentLimitFactor": 2.0, "parentStartsAt": 0.062, "parentWarmsInS": 21.0, "priceOfLink": 0.04,
			"purgeSlackS": 0.3, "purgeTakesS": 6.0, "rootFallS": 3.0, "rootKind": 2, "says": "all",
			"staleEarns": []float64{0.7, 0.7}, "upperKind": 1,
		},
		limits: map[string]any{
			"attemptsCap": 6, "cancel": true, "connIdleS": 30.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
			"dialTimeoutS": 0.4, "maxOpen": 20000, "maxRetryAfterS": 0.5, "mayProbe": false, "mayTell": false,
			"retryAfter": true, "secondCopies": true, "streamsPerConn": 100,
		},
		rules: map[string]any{
			"askEveryS": 10.0, "coldFrom": 0.16, "fallS": 1.5, "graceToAnswerS": 0.008, "overloadFactor": 2.5,
			"stopSendingWithinS": 0.25, "warmUpS": 17.0,
		},
		report: []string{"outstanding", "x1", "x0"},
	}
}

// config returns the text of LB_CONFIG.
func (d deployment) config(name, listen, journal, known string) string {
	family := d.family
	family["zoneBalancers"] = []int{0, d.routers}
	settings := map[string]any{
		"balancers": d.routers, "callers": map[string]any{"marksRetry": true}, "discovery": "push",
		"failureDomains": []string{"central", "edge-1"}, "family": "edge", "familyInfo": family, "layer": 0,
		"limits": d.limits, "locality": "edge-1", "machineTypes": []string{"small-box", "parent", "origin"},
		"obligations": d.rules, "overShareWorth": 0.1, "profiles": d.profiles, "quantumS": 0.002, "realms": []any{},
		"report": map[string]any{"fields": d.report, "source": "inline"}, "selfIndex": 0,
		"tiers": []string{"branch-cache"}, "weights": "rough", "worthBy": "request",
	}
	all := map[string]any{
		"name": name, "listen": listen, "journal": journal, "seed": d.seed, "flow_bytes_per_s": d.flowBytes,
		"link_bytes_per_s": 4 * d.flowBytes,
		"limits":           map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"settings":         settings,
	}
	if known != "" {
		all["known"] = json.RawMessage(known)
	}
	raw, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		cannotRun("%v", err)
	}
	return string(raw)
}

// host is one entry of the list of cache servers.
func host(name, address, kind, state string, weight float64, startedAt int64) string {
	zone := "edge-1"
	if kind != "small-box" {
		zone = "central"
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":1,"lifecycle":%q,"weight":%g,"startedAtMs":%d}`,
		name, address, zone, kind, state, weight, startedAt)
}

// hosts is an event of the journal service with entries of the list.
func hosts(generation int, entries ...string) string {
	return fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"reset":false,"instances":[%s]}}`, generation, strings.Join(entries, ","))
}
