package simulator

import (
	"bytes"
	"strings"
	"testing"
)

// routerSettings are the settings of a router. They contain an unknown setting, which is ignored.
const routerSettings = `{"balancers":1,"locality":"edge-1","failureDomains":["central","edge-1"],` +
	`"machineTypes":["box","parent",` +
	`"origin"],"familyInfo":{"upperKind":1,"rootKind":2,"zoneBalancers":[0,1],"clientKbPerS":4000},"limits":` +
	`{"attemptsCap":6,"cancel":true},"profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":2.5,"points":1,` +
	`"effect":"retryable","keyScope":"all"}],"novel":{"key":[1,2]}}`

// firstBatch starts a router with a list of two endpoints.
const firstBatch = "MARK 8 1\nSTART router-0 5 " + routerSettings + "\nFLEET router-0 cached 1 2\n" +
	"ITEM 11 edge-1 box 0 ready 5 -\nITEM 12 central parent 0 ready 20 -\nFLUSH\n"

func TestRun(t *testing.T) {
	submit := "SUBMIT router-0 ab 0 - - 0 12 3 obj:x stills\n"
	cases := []struct {
		name, in string
		want     []string // texts that the output must contain
		unwanted string   // text that the output must not contain; empty: none
		wantErr  string   // part of the error; empty: no error
	}{
		{
			"an attempt and its end", firstBatch + "MARK 9 2\n" + submit + "FLUSH\nMARK 9.1 3\n" +
				"ENDED router-0 ab 0 11 GOOD 0.1 1 1 0.01 -\nGONE router-0 ab\nFLUSH\n",
			[]string{"PULL_VIA router-0 ab 8 - 12 3 11 ", "READY 3"},
			"SAY_NO", "",
		},
		{
			"unknown requests, timers and routers are ignored", firstBatch + "MARK 9 2\nGONE router-0 zz\n" +
				"TICK_DUE router-0 99\nENDED router-0 zz 0 11 GOOD 0.1 1 - - -\nRECALLED router-0 - 7 0.1\n" +
				"GONE router-9 ab\nMEMO router-0 2 68\nFLUSH\n",
			[]string{"READY 2"},
			"SAY_NO", "",
		},
		{
			"a router is stopped and started in one batch", firstBatch + "MARK 9 2\n" + submit +
				"EXIT router-0\nSTART router-0 6 " + routerSettings +
				"\nFLEET router-0 cached 1 0\n" + strings.Replace(submit, "ab", "cd", 1) + "FLUSH\n",
			[]string{"PULL_VIA router-0 ab", "READY 2"},
			"PULL_VIA router-0 cd", "",
		},
		{
			"a failed subscription to the endpoint list is repeated", "MARK 8 1\nSTART router-0 5 " +
				strings.Replace(routerSettings, "{", `{"discovery":"ask",`, 1) +
				"\nFLUSH\nMARK 8.1 2\nFLEET router-0 failed 0 0\nTICK_DUE router-0 1\nFLUSH\n" +
				"MARK 8.7 3\nTICK_DUE router-0 1\nFLUSH\n",
			[]string{"SUBSCRIBE router-0 1\nWAKE_ME router-0 0.1 1\nREADY 1", "READY 2\nSUBSCRIBE router-0 1\n"},
			"READY 1\nSUBSCRIBE", "",
		},
		{
			"an attempt is not cancelled once its response is being forwarded", firstBatch + "MARK 9 2\n" + submit +
				"FLUSH\nMARK 9.1 3\nESTABLISHED router-0 ab 0 0 0.01\nFLUSH\n", []string{"READY 3"}, "REVOKE", "",
		},
		{
			"a required setting is missing", "MARK 8 1\nSTART router-0 5 {\"balancers\":1}\nFLUSH\n",
			[]string{"BAIL_OUT router-0 setting product.names is missing"},
			"", "",
		},
		{
			"a setting of the wrong type", "MARK 8 4\nSTART router-0 5 {\"balancers\":\"x\"}\nFLUSH\n", nil, "READY",
			"batch 4: settings",
		},
		{
			"an unknown result of an attempt", firstBatch + "MARK 9 2\nENDED router-0 ab 0 11 ODD 0.1 1 - - -\nFLUSH\n",
			nil, "READY 2",
			`batch 2: unknown result of an attempt "ODD": must be one of BAD, CXL, `,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(strings.NewReader(c.in), &out)
			if c.wantErr == "" && err != nil ||
				c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)) {
				t.Fatalf("error %v, want one with %q (empty: no error)", err, c.wantErr)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, out.String())
				}
			}
			if c.unwanted != "" && strings.Contains(out.String(), c.unwanted) {
				t.Errorf("output contains %q:\n%s", c.unwanted, out.String())
			}
		})
	}
}
