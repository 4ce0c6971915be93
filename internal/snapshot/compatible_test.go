package snapshot

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"

	"github.com/fxamacker/cbor/v2"
)

// firstFile was written by commit 9be9074 from the snapshot in TestFileOfFirstVersionIsCompatible.
var firstFile = filepath.Join("testdata", "9be9074.snapshot")

// firstEndpoints is the endpoint list of firstFile.
var firstEndpoints = []router.EndpointEntry{
	{
		Instance: "s-00c41f7a",
		Address:  "10.1.0.9:10080",
		Endpoint: control.Endpoint{
			ID:        2166136261,
			Location:  "east",
			Kind:      "std",
			Cell:      2,
			Phase:     "ready",
			Capacity:  4,
			StartedAt: 1764576000123000000,
		},
	},
	{
		Instance: "s-00c41f7b",
		Address:  "10.1.0.10:10080",
		Endpoint: control.Endpoint{
			ID:       16777619,
			Location: "west",
			Kind:     "large",
			Cell:     3,
			Phase:    "draining",
			Capacity: 0.5,
		},
	},
	{
		Instance: "p-1",
		Address:  "10.1.1.1:10080",
		Endpoint: control.Endpoint{
			ID:        7,
			Location:  "east",
			Kind:      "parent",
			Cell:      -1,
			Phase:     "ready",
			Capacity:  1,
			StartedAt: 1,
		},
	},
}

// firstMemory is the state of package control in firstFile.
var firstMemory = control.Snapshot{
	StartedAt:       1764575000000000001,
	TakenAt:         1764576123456789001,
	RequestCount:    812.25,
	RequestCountAt:  1764576123000000002,
	AdmissionLimits: [3]float64{0.75, 1.5, 4},
	Classes: []control.ClassSnapshot{
		{Name: "sign-off", SendingTime: 0.125, ResponseTime: 0.25, Samples: 12},
		{Name: "stills", SendingTime: 0.0625, ResponseTime: 0.5, Samples: 900.5},
	},
	Objects: []control.ObjectSnapshot{
		{
			Object:      "7f3a9c21e0b4d655",
			Part:        3,
			Group:       17,
			Count:       2.5,
			Purges:      1.25,
			CountedAt:   1764576100000000003,
			FirstSeenAt: 1764575500000000004,
			Evicted:     true,
		},
		{
			Object:      "4be0c1927d55a6f3",
			Part:        0,
			Group:       255,
			Count:       40.75,
			Purges:      0.5,
			CountedAt:   1764576120000000005,
			FirstSeenAt: 1764575100000000006,
		},
	},
	Purges: []control.PurgeSnapshot{
		{Name: "7f3a9c21e0b4d655", PurgedAt: 1764576000123000007},
		{Name: "g17", PurgedAt: 1764576000480000008},
	},
}

// A file that commit 9be9074 wrote is read with all its fields, and this program still writes all fields that a
// program of that commit reads. The Go names of fields may change, their stored names may not.
func TestFileOfFirstVersionIsCompatible(t *testing.T) {
	got, err := NewStore(firstFile).Read()
	if err != nil {
		t.Fatal(err)
	}
	want := Snapshot{
		Header: restore.Header{
			Version:        1,
			Router:         "n041",
			SettingsDigest: 0xc0ffee1234567890,
			TakenAt:        1764576123456789000,
		},
		Position:  4711,
		Digest:    0x9e3779b97f4a7c15,
		Endpoints: firstEndpoints,
		Memory:    firstMemory,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	raw, err := os.ReadFile(firstFile)
	if err != nil {
		t.Fatal(err)
	}
	written, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	expectFields(t, "", decodeContent(t, written), decodeContent(t, raw))
}

// decodeContent decodes a file's content into maps and lists, without the struct types of this program.
func decodeContent(t *testing.T, raw []byte) (content any) {
	t.Helper()
	if err := cbor.Unmarshal(raw[headerBytes:], &content); err != nil {
		t.Fatal(err)
	}
	return content
}

// expectFields checks that have contains each field of want with an equal value. path is the position in the content,
// for failure messages.
func expectFields(t *testing.T, path string, have, want any) {
	t.Helper()
	switch want := want.(type) {
	case map[any]any:
		fields, _ := have.(map[any]any)
		for name, value := range want {
			expectFields(t, fmt.Sprint(path, "/", name), fields[name], value)
		}
	case []any:
		items, _ := have.([]any)
		if len(items) != len(want) {
			t.Errorf("%s: %d items, want %d", path, len(items), len(want))
			return
		}
		for i, value := range want {
			expectFields(t, fmt.Sprint(path, "/", i), items[i], value)
		}
	default:
		if !reflect.DeepEqual(have, want) {
			t.Errorf("%s: %v, want %v", path, have, want)
		}
	}
}
