package discovery

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"tealpath/internal/router"
)

func TestDecodeEvent(t *testing.T) {
	endpoint := func(phase string) string {
		return "{s-00c41f7a 10.1.0.9:10080 {0 east std 2 " + phase + " 4 1764576000123000000}}"
	}
	for _, test := range []struct {
		name, in string
		want     string // empty: an error
	}{
		{"the first list is complete", listEvent(1, false, "active"), "1 {true [" + endpoint("ready") + "]}"},
		{"changes", listEvent(5, false, "leaving"), "5 {false [" + endpoint("draining") + "]}"},
		{"a complete list", listEvent(5, true, "left"), "5 {true [" + endpoint("gone") + "]}"},
		{"an unknown lifecycle drains", listEvent(5, false, "odd"), "5 {false [" + endpoint("draining") + "]}"},
		{
			"a purge of an object", `{"pos":6,"expire":{"name":"7f3a9c21e0b4d655","stamp":1764576000123}}`,
			"6 {7f3a9c21e0b4d655 0 1764576000123000000}",
		},
		{"a purge of a group", `{"pos":7,"expire":{"set":0,"stamp":1764576000480}}`, "7 { 0 1764576000480000000}"},
		{"a purge of nothing", `{"pos":7,"expire":{"stamp":1764576000480}}`, ""},
		{"an instance without an id", `{"pos":7,"hosts":{"instances":[{}]}}`, ""},
		{"something else", `{"pos":8,"novel":{}}`, "8 <nil>"},
		{"broken", `{"pos":8,"hosts":`, ""},
		{"a list that is none", `{"pos":8,"hosts":{"instances":4}}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoded, err := decodeEvent([]byte(test.in))
			got := fmt.Sprint(decoded.position, " ", decoded.event)
			if (err != nil) != (test.want == "") || err == nil && got != test.want {
				t.Errorf("%s, %v\nwant %s", got, err, test.want)
			}
		})
	}
}

func TestDecodeErrorsNameTheField(t *testing.T) {
	for _, test := range []struct {
		in       string
		want     FieldError
		position int64
	}{
		{`{"pos":7,"expire":{}}`, FieldError{Field: "expire.name", Reason: "names nothing, and there is no set"}, 7},
		{
			`{"pos":7,"hosts":{"instances":[{"instanceId":"a"},{}]}}`,
			FieldError{Field: "hosts.instances[1].instanceId", Reason: "names no instance"},
			7,
		},
		{
			`{"pos":8,"hosts":{"instances":4}}`,
			FieldError{Field: "hosts.instances", Value: "number", Reason: "is not of its type"},
			0,
		},
	} {
		decoded, err := decodeEvent([]byte(test.in))
		got, ok := errors.AsType[*FieldError](err)
		if !ok || *got != test.want || decoded.position != test.position {
			t.Errorf("%s: position %d, %v", test.in, decoded.position, err)
		}
		text := fmt.Sprint(err)
		if !strings.Contains(text, test.want.Field) || !strings.Contains(text, test.want.Reason) {
			t.Errorf("%s: %s", test.in, text)
		}
	}
}

// Other machines' timestamps beyond what 64 bits of ns can hold become the largest or smallest number, so
// that no time of the far future becomes one of the past, nor the other way round.
func TestTimestampsSaturate(t *testing.T) {
	for _, test := range []struct {
		name     string
		ms, want int64
	}{
		{"usual", 1764576000123, 1764576000123e6},
		{"none", 0, 0},
		{"negative", -1, -1e6},
		{"a year ahead of 2100", 4133980800000, 4133980800000e6},
		{"far ahead", math.MaxInt64, math.MaxInt64},
		{"far back", math.MinInt64, math.MinInt64},
		{"just beyond what ns can hold", math.MaxInt64/1_000_000 + 1, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoded, err := decodeEvent(fmt.Appendf(nil, `{"pos":2,"expire":{"set":17,"stamp":%d}}`, test.ms))
			if purge, ok := decoded.event.(router.PurgeReceived); err != nil || !ok || purge.PurgedAt != test.want {
				t.Errorf("%+v, %v, want %d", decoded.event, err, test.want)
			}
			decoded, err = decodeEvent(fmt.Appendf(nil,
				`{"pos":2,"hosts":{"instances":[{"instanceId":"s-a","startedAtMs":%d}]}}`, test.ms))
			list, ok := decoded.event.(router.EndpointListUpdated)
			if err != nil || !ok || list.Entries[0].StartedAt != test.want {
				t.Errorf("%+v, %v, want %d", decoded.event, err, test.want)
			}
		})
	}
}

// A purge whose time can't be read counts from its arrival; a start that can't be read makes the event unusable.
func TestTimestampsThatAreNoInteger(t *testing.T) {
	for _, odd := range []string{`"soon"`, `1.5`, `9223372036854775808`, `{}`} {
		t.Run(odd, func(t *testing.T) {
			decoded, err := decodeEvent([]byte(`{"pos":2,"expire":{"set":17,"stamp":` + odd + `}}`))
			purge, ok := decoded.event.(router.PurgeReceived)
			if err != nil || !ok || purge.Group != 17 || purge.PurgedAt != 0 {
				t.Errorf("%+v, %v; the purge is to count from its arrival", decoded.event, err)
			}
			list := `{"pos":2,"hosts":{"instances":[{"instanceId":"s-a","startedAtMs":` + odd + `}]}}`
			decoded, err = decodeEvent([]byte(list))
			if err == nil {
				t.Errorf("a start is taken for %+v", decoded.event)
			}
		})
	}
}

// largeList is the JSON of an endpoint list of so many instances.
func largeList(endpoints int) []byte {
	var instances []string
	for n := range endpoints {
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s-%08x",`+
			`"hostPort":"127.%d.%d.%d:10080","zone":"east",`+
			`"machineType":"std","cell":%d,"lifecycle":"active","weight":4,"startedAtMs":0}`,
			uint32(n)*2654435761, n>>16, n>>8&255, n&255, n%8))
	}
	return []byte(`{"pos":1,"hosts":{"generation":7,"reset":true,"instances":[` + strings.Join(instances, ",") + `]}}`)
}

func BenchmarkDecode(b *testing.B) {
	for _, endpoints := range []int{200, 3200, 10_000} {
		raw := largeList(endpoints)
		b.Run(fmt.Sprintf("members=%d", endpoints), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decodeEvent(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
