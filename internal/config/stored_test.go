package config

import (
	"fmt"
	"strings"
	"testing"

	"tealpath/control"

	"github.com/cespare/xxhash/v2"
)

// everySetting has settings of each group and of each value type.
const everySetting = `{"balancers":900,"selfIndex":3,"locality":"east","failureDomains":["hub","east"],"machineTypes":["std",
  "parent","origin"],
 "discovery":"push","weights":"nominal","worthBy":"answer",
 "familyInfo":{"zoneBalancers":[0,300],"homeHub":[0,0],"feedKbPerS":[1.5,2],"clientKbPerS":500,
  "direct":true,"joins":true,"says":"all",
  "upperKind":1,"rootKind":2,"originFallMultiple":0,"parentStartsAt":0.1,"parentWarmsInS":20,
  "purgeTakesS":6,"freshForS":[8,null],"neverKept":[false,true]},
 "limits":{"attemptsCap":4,"cancel":true,"secondCopies":true,"mayProbe":false,"retryAfter":true,
  "maxRetryAfterS":1.5,"dialTimeoutS":0.4},
 "obligations":{"coldFrom":0.2,"warmUpS":10,"overloadFactor":2,"fallS":2},
  "report":{"fields":["outstanding","utilization"],"source":"answers"},
 "profiles":[{"name":"stills","points":2,"effect":"retryable","onTimeS":0.5,"deadlineS":2.5},
  {"name":"sign-off","points":1,"effect":"dedup","keyScope":"cell","dedupWindowS":1,"onTimeS":0.25,
  "deadlineS":1}]}`

// A snapshot contains a digest of the text that fmt prints for the settings, so neither keys nor types may change. The
// expected text is that of commit 9be9074, whose snapshots can still be read.
func TestTextOfSettingsIsUnchanged(t *testing.T) {
	set, err := ParseSettings([]byte(everySetting))
	if err != nil {
		t.Fatal(err)
	}
	const want = `map[advice:true advice.most:1500000000 cancel:true clientKBPerS:500 cold.factor:2 cold.share:0.2 ` +
		`cold.span:10000000000 cold.window:2000000000 connect.within:400000000 direct:true dispatches.most:4 ` +
		`dispatches.together:true joins:true kind.origin:2 kind.parent:1 kinds:[std parent origin] ` +
		`list.mode:push location:east location.hub:[0 0] location.linkKBPerS:[1.5 2] ` +
		`location.routers:[0 300] locations:[hub east] notes:all origin.fallFactor:0 parent.coldShare:0.1 ` +
		`parent.coldSpan:20000000000 payoff.by:answer probe:false product.due:[500000000 250000000] ` +
		`product.dueStretch:[0 0] product.effect:[harmless stamped] product.fresh:[8000000000 0] ` +
		`product.hardStop:[2500000000 1000000000] product.latePayoff:[0 0] product.names:[stills sign-off] ` +
		`product.neverKept:[false true] product.payoff:[2 1] product.scope:[ cell] ` +
		`product.streamed:[false false] product.window:[0 1000000000] purge.takes:6000000000 ` +
		`report.fields:[inHand busy] report.mode:answers router.place:3 routers:900 units:nominal]`
	got := fmt.Sprint(set)
	if got != want {
		t.Errorf("settings %s\nwant %s", got, want)
	}
	if digest := xxhash.Sum64String(got); digest != 0x359606f899bd13e2 {
		t.Errorf("digest %#x, want 0x359606f899bd13e2", digest)
	}
}

// If a setting had another type than control.DecodeSettings expects, a router would reject valid configuration files
// at its start.
func TestSettingsCanBeDecodedByControl(t *testing.T) {
	raw, err := ParseSettings([]byte(everySetting))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := control.DecodeSettings(raw); err != nil {
		t.Error(err)
	}
}

// If the digest of the same settings changed, routers would ignore the snapshots that they have stored. The expected
// digests are those of commit eeedb81.
func TestSettingsDigestIsUnchanged(t *testing.T) {
	for _, c := range []struct {
		name, content string
		want          uint64
	}{
		{"some settings", file, 0xe4f833b541764e13},
		{
			"no flow_bytes_per_s",
			strings.Replace(file, `"flow_bytes_per_s":310000,`, "", 1),
			0xfdeb61330dc015e7,
		},
		{
			"settings of each group",
			`{"listen":"127.0.0.4:10080","journal":"127.2.0.1:2379","flow_bytes_per_s":310000,"settings":` +
				everySetting + `}`,
			0xf82c469b4c23d64e,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			config, err := Parse([]byte(c.content), "", "")
			if err != nil || config.SettingsDigest != c.want {
				t.Errorf("digest %#x, want %#x; error %v", config.SettingsDigest, c.want, err)
			}
		})
	}
}
