package compatibility

import (
	"encoding/hex"
	"encoding/json"
	"reflect"
	"testing"
)

// Instances exchange settings as CBOR, and `tealpath diff --json` prints them as JSON, so the field names of both must
// not change.
func TestSettingsEncoding(t *testing.T) {
	const (
		wantCBOR = "a967526f757465727319012c65536c6f74731840654c656173651a59682f00654472696674fb3f847ae147ae147b66566f74657273a3" +
			"6545706f636804634e6f7783616161626163664265666f726582616161626a507572676554616b65731b0000000165a0bc006957697468" +
			"647261776e8163732d3165486f6c6473183c6950726f6265456163681a3b9aca00"
		wantJSON = `{"Routers":300,"Slots":64,"Lease":1500000000,"Drift":0.01,` +
			`"Voters":{"Epoch":4,"Now":["a","b","c"],"Before":["a","b"]},` +
			`"PurgeTakes":6000000000,"Withdrawn":["s-1"],"Holds":60,"ProbeEach":1000000000}`
	)
	settings := exampleSettings()
	settings.Voters.Previous = []string{"a", "b"}
	content, err := Encode(settings)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(content); got != wantCBOR {
		t.Errorf("CBOR %s\nwant %s", got, wantCBOR)
	}
	decoded, err := Decode(content)
	if err != nil || !reflect.DeepEqual(decoded, settings) {
		t.Errorf("Decode = %+v, %v, want %+v", decoded, err, settings)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != wantJSON {
		t.Errorf("JSON %s\nwant %s", text, wantJSON)
	}
}
