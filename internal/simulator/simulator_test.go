package simulator

import (
	"bytes"
	"strings"
	"testing"
)

const info = `{"balancers":1,"locality":"edge-1","failureDomains":["central","edge-1"],"machineTypes":["box","parent",` +
	`"origin"],"familyInfo":{"upperKind":1,"rootKind":2,"zoneBalancers":[0,1],"clientKbPerS":4000},"limits":` +
	`{"attemptsCap":6,"cancel":true},"profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":2.5,"points":1,` +
	`"effect":"retryable","keyScope":"all"}],"novel":{"key":[1,2]}}`

const opening = "MARK 8 1\nSTART router-0 5 " + info + "\nFLEET router-0 cached 1 2\n" +
	"ITEM 11 edge-1 box 0 ready 5 -\nITEM 12 central parent 0 ready 20 -\nFLUSH\n"

func TestRun(t *testing.T) {
	submit := "SUBMIT router-0 ab 0 - - 0 12 3 obj:x stills\n"
	cases := []struct {
		name, in string
		want     []string // each is in the output
		not      string
		fault    string
	}{
		{
			"a dispatch and its end", opening + "MARK 9 2\n" + submit + "FLUSH\nMARK 9.1 3\n" +
				"ENDED router-0 ab 0 11 GOOD 0.1 1 1 0.01 -\nGONE router-0 ab\nFLUSH\n",
			[]string{"PULL_VIA router-0 ab 8 - 12 3 11 ", "READY 3"},
			"SAY_NO", "",
		},
		{
			"what is unknown or finished is ignored", opening + "MARK 9 2\nGONE router-0 zz\nTICK_DUE router-0 99\n" +
				"ENDED router-0 zz 0 11 GOOD 0.1 1 - - -\nRECALLED router-0 - 7 0.1\nGONE router-9 ab\nMEMO router-0 2 68\nFLUSH\n",
			[]string{"READY 2"},
			"SAY_NO", "",
		},
		{
			"stopped and started in one batch", opening + "MARK 9 2\n" + submit + "EXIT router-0\nSTART router-0 6 " + info +
				"\nFLEET router-0 cached 1 0\n" + strings.Replace(submit, "ab", "cd", 1) + "FLUSH\n",
			[]string{"PULL_VIA router-0 ab", "READY 2"},
			"PULL_VIA router-0 cd", "",
		},
		{
			"a list that must be asked for", "MARK 8 1\nSTART router-0 5 " + strings.Replace(info, "{", `{"discovery":"ask",`, 1) +
				"\nFLUSH\nMARK 8.1 2\nFLEET router-0 failed 0 0\nTICK_DUE router-0 1\nFLUSH\nMARK 8.7 3\nTICK_DUE router-0 1\nFLUSH\n",
			[]string{"SUBSCRIBE router-0 1\nWAKE_ME router-0 0.1 1\nREADY 1", "READY 2\nSUBSCRIBE router-0 1\n"},
			"READY 1\nSUBSCRIBE", "",
		},
		{"what has started to stream is the client's: it is not called off", opening + "MARK 9 2\n" + submit + "FLUSH\nMARK 9.1 3\n" +
			"ESTABLISHED router-0 ab 0 0 0.01\nFLUSH\n", []string{"READY 3"}, "REVOKE", ""},
		{
			"a required setting is missing", "MARK 8 1\nSTART router-0 5 {\"balancers\":1}\nFLUSH\n",
			[]string{"BAIL_OUT router-0 setting product.names is missing"},
			"", "",
		},
		{
			"an object of the wrong type", "MARK 8 4\nSTART router-0 5 {\"balancers\":\"x\"}\nFLUSH\n", nil, "READY",
			"batch 4: settings",
		},
		{
			"an unknown outcome", opening + "MARK 9 2\nENDED router-0 ab 0 11 ODD 0.1 1 - - -\nFLUSH\n", nil, "READY 2",
			"batch 2: unknown outcome",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(strings.NewReader(c.in), &out)
			if c.fault == "" && err != nil || c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
				t.Fatalf("error %v, want %q", err, c.fault)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in %s", want, out.String())
				}
			}
			if c.not != "" && strings.Contains(out.String(), c.not) {
				t.Errorf("%q in %s", c.not, out.String())
			}
		})
	}
}
