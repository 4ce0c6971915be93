package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"tealpath/control"
	"tealpath/internal/lifecycle/restore"
	"tealpath/internal/router"
	"testing"
)

func some() Snapshot {
	return Snapshot{
		Header: restore.Header{Version: restore.FormatVersion, Router: "n1", SettingsDigest: 7, TakenAt: 99}, Position: 5, Digest: 8,
		Endpoints: []router.EndpointEntry{{Instance: "s-1", Address: "10.0.0.1:1", Endpoint: control.Endpoint{Phase: "ready", Capacity: 4}}},
		Memory: control.Snapshot{
			TakenAt: 99, Objects: []control.ObjectSnapshot{{Object: "7f3a9c21e0b4d655", Count: 2.5, FirstSeenAt: 3}},
			Classes: []control.ClassSnapshot{{Name: "stills", SendingTime: .1, ResponseTime: .2, Samples: 9}}, Purges: []control.PurgeSnapshot{{Name: "g3", PurgedAt: 4}},
		},
	}
}

func TestRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	if _, err := NewStore(path).Read(); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	if err := NewStore(path).Write(some()); err != nil {
		t.Fatal(err)
	}
	if got, err := NewStore(path).Read(); err != nil || !reflect.DeepEqual(got, some()) {
		t.Errorf("%+v, %v", got, err)
	}
	if err := NewStore(filepath.Join(path, "no")).Write(some()); err == nil {
		t.Error("written below a file")
	}
	if _, err := os.Stat(path + ".new"); !errors.Is(err, os.ErrNotExist) {
		t.Error("the file aside is left")
	}
}

// Whatever byte is lost or turned: the file is passed over, or says the version that it is of.
func TestCorrupt(t *testing.T) {
	raw, err := Encode(some())
	if err != nil {
		t.Fatal(err)
	}
	for n := range raw {
		if _, err := Decode(raw[:n]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut to %d bytes: %v", n, err)
		}
		turned := append([]byte(nil), raw...)
		turned[n] ^= 0x40
		if s, err := Decode(turned); !errors.Is(err, ErrCorrupt) && s.Version == restore.FormatVersion {
			t.Fatalf("byte %d turned: %+v, %v", n, s, err)
		}
	}
	path := filepath.Join(t.TempDir(), "kept")
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewStore(path).Read(); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := Encode(some())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode(raw); err == nil && s.Version == restore.FormatVersion {
			if _, err := Encode(s); err != nil {
				t.Error(err)
			}
		}
	})
}
