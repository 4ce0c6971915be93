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
		want     string // text of the decoded position and event; empty: an error is expected
	}{
		{"the first list is complete", listJSON(1, false, "active"), "1 {true [" + endpoint("ready") + "]}"},
		{"changes", listJSON(5, false, "leaving"), "5 {false [" + endpoint("draining") + "]}"},
		{"a complete list", listJSON(5, true, "left"), "5 {true [" + endpoint("gone") + "]}"},
		{
			"an unknown lifecycle is treated as draining",
			listJSON(5, false, "odd"),
			"5 {false [" + endpoint("draining") + "]}",
		},
		{
			"a purge of an object", `{"pos":6,"expire":{"name":"7f3a9c21e0b4d655","stamp":1764576000123}}`,
			"6 {7f3a9c21e0b4d655 0 1764576000123000000}",
		},
		{"a purge of a group", `{"pos":7,"expire":{"set":0,"stamp":1764576000480}}`, "7 { 0 1764576000480000000}"},
		{"a purge without an object or group", `{"pos":7,"expire":{"stamp":1764576000480}}`, ""},
		{"an instance without an ID", `{"pos":7,"hosts":{"instances":[{}]}}`, ""},
		{"an unknown type of event is ignored", `{"pos":8,"novel":{}}`, "8 <nil>"},
		{"truncated JSON", `{"pos":8,"hosts":`, ""},
		{"a number instead of a list", `{"pos":8,"hosts":{"instances":4}}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoded, err := decodeEvent([]byte(test.in))
			got := fmt.Sprint(decoded.position, " ", decoded.event)
			if (err != nil) != (test.want == "") || err == nil && got != test.want {
				t.Errorf("decoded %s, error %v\nwant %q, or an error if empty", got, err, test.want)
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
		{`{"pos":7,"expire":{}}`, FieldError{Field: "expire.name", Reason: "must not be empty without expire.set"}, 7},
		{
			`{"pos":7,"hosts":{"instances":[{"instanceId":"a"},{}]}}`,
			FieldError{Field: "hosts.instances[1].instanceId", Reason: "must not be empty"},
			7,
		},
		{
			`{"pos":8,"hosts":{"instances":4}}`,
			FieldError{Field: "hosts.instances", Value: "JSON number", Reason: "cannot be decoded as a Go slice"},
			0,
		},
	} {
		decoded, err := decodeEvent([]byte(test.in))
		got, ok := errors.AsType[*FieldError](err)
		if !ok || *got != test.want || decoded.position != test.position {
			t.Errorf("%s: position %d, error %v, want position %d, %+v",
				test.in, decoded.position, err, test.position, test.want)
		}
		text := fmt.Sprint(err)
		if !strings.Contains(text, test.want.Field) || !strings.Contains(text, test.want.Reason) {
			t.Errorf("%s: error %s does not contain %q and %q", test.in, text, test.want.Field, test.want.Reason)
		}
	}
}

// A timestamp that does not fit into 64 bits of ns must become the largest or smallest value. With an overflow, a time
// in the far future would become one in the past, or the other way round.
func TestTimestampsSaturate(t *testing.T) {
	for _, test := range []struct {
		name     string
		ms, want int64
	}{
		{"a recent time", 1764576000123, 1764576000123e6},
		{"zero", 0, 0},
		{"negative", -1, -1e6},
		{"the year 2101", 4133980800000, 4133980800000e6},
		{"the maximum", math.MaxInt64, math.MaxInt64},
		{"the minimum", math.MinInt64, math.MinInt64},
		{"the smallest that does not fit", math.MaxInt64/1_000_000 + 1, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoded, err := decodeEvent(fmt.Appendf(nil, `{"pos":2,"expire":{"set":17,"stamp":%d}}`, test.ms))
			if purge, ok := decoded.event.(router.PurgeReceived); err != nil || !ok || purge.PurgedAt != test.want {
				t.Errorf("purge %+v, error %v, want PurgedAt %d", decoded.event, err, test.want)
			}
			decoded, err = decodeEvent(fmt.Appendf(nil,
				`{"pos":2,"hosts":{"instances":[{"instanceId":"s-a","startedAtMs":%d}]}}`, test.ms))
			list, ok := decoded.event.(router.EndpointListUpdated)
			if err != nil || !ok || list.Entries[0].StartedAt != test.want {
				t.Errorf("list %+v, error %v, want StartedAt %d", decoded.event, err, test.want)
			}
		})
	}
}

// A purge whose time is not a 64-bit integer takes effect at its arrival. A start time that is not a 64-bit integer
// makes the event unusable.
func TestInvalidTimestamps(t *testing.T) {
	for _, invalid := range []string{`"soon"`, `1.5`, `9223372036854775808`, `{}`} {
		t.Run(invalid, func(t *testing.T) {
			decoded, err := decodeEvent([]byte(`{"pos":2,"expire":{"set":17,"stamp":` + invalid + `}}`))
			purge, ok := decoded.event.(router.PurgeReceived)
			if err != nil || !ok || purge.Group != 17 || purge.PurgedAt != 0 {
				t.Errorf("purge %+v, error %v, want group 17 and PurgedAt 0", decoded.event, err)
			}
			list := `{"pos":2,"hosts":{"instances":[{"instanceId":"s-a","startedAtMs":` + invalid + `}]}}`
			decoded, err = decodeEvent([]byte(list))
			if err == nil {
				t.Errorf("start time %s was decoded as %+v, want an error", invalid, decoded.event)
			}
		})
	}
}

// largeList returns the JSON of an endpoint list with the given number of instances.
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
