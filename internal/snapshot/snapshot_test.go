package snapshot

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
)

// testSnapshot returns a snapshot with one item in each list.
func testSnapshot() Snapshot {
	endpoint := control.Endpoint{Phase: "ready", Capacity: 4}
	return Snapshot{
		Header: restore.Header{
			Version:        restore.FormatVersion,
			Router:         "n1",
			SettingsDigest: 7,
			TakenAt:        99,
		},
		Position:  5,
		Digest:    8,
		Endpoints: []router.EndpointEntry{{Instance: "s-1", Address: "10.0.0.1:1", Endpoint: endpoint}},
		Memory: control.Snapshot{
			TakenAt: 99,
			Objects: []control.ObjectSnapshot{{Object: "7f3a9c21e0b4d655", Count: 2.5, FirstSeenAt: 3}},
			Classes: []control.ClassSnapshot{{Name: "stills", SendingTime: .1, ResponseTime: .2, Samples: 9}},
			Purges:  []control.PurgeSnapshot{{Name: "g3", PurgedAt: 4}},
		},
	}
}

// A snapshot that was written is read unchanged, and no temporary file is left.
func TestRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	if _, err := NewStore(path).Read(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v for a file that does not exist, want %v", err, os.ErrNotExist)
	}
	if err := NewStore(path).Write(testSnapshot()); err != nil {
		t.Fatal(err)
	}
	if got, err := NewStore(path).Read(); err != nil || !reflect.DeepEqual(got, testSnapshot()) {
		t.Errorf("read %+v, error %v; want %+v", got, err, testSnapshot())
	}
	if err := NewStore(filepath.Join(path, "no")).Write(testSnapshot()); err == nil {
		t.Error("no error for a path below a regular file")
	}
	if _, err := os.Stat(path + ".new"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the temporary file is still there: error %v", err)
	}
}

// A truncated file is corrupt. If any one byte is changed, the file is corrupt or has another version.
func TestDamagedFilesAreCorrupt(t *testing.T) {
	raw, err := Encode(testSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	for n := range raw {
		if _, err := Decode(raw[:n]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: error %v, want %v", n, err, ErrCorrupt)
		}
		damaged := bytes.Clone(raw)
		damaged[n] ^= 0x40
		if s, err := Decode(damaged); !errors.Is(err, ErrCorrupt) && s.Version == restore.FormatVersion {
			t.Fatalf("byte %d changed: decoded %+v, error %v, want %v", n, s, err, ErrCorrupt)
		}
	}
	path := filepath.Join(t.TempDir(), "kept")
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewStore(path).Read(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("error %v for a file that is too large, want %v", err, ErrCorrupt)
	}
}

// FuzzDecode checks that whatever can be decoded can be encoded.
func FuzzDecode(f *testing.F) {
	raw, err := Encode(testSnapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode(raw); err == nil && s.Version == restore.FormatVersion {
			if _, err := Encode(s); err != nil {
				t.Errorf("decoded %+v, which can't be encoded: %v", s, err)
			}
		}
	})
}
