package discovery

import (
	"fmt"
	"strings"
	"testing"
)

// listOf is an event that names so many members.
func listOf(members int) []byte {
	var lines []string
	for n := range members {
		lines = append(lines, fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"127.%d.%d.%d:10080","zone":"east","machineType":"std",`+
			`"cell":%d,"lifecycle":"active","weight":4,"startedAtMs":0}`, uint32(n)*2654435761, n>>16, n>>8&255, n&255, n%8))
	}
	return []byte(`{"pos":1,"hosts":{"generation":7,"reset":true,"instances":[` + strings.Join(lines, ",") + `]}}`)
}

func BenchmarkDecode(b *testing.B) {
	for _, members := range []int{200, 3200, 10_000} {
		raw := listOf(members)
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				if _, _, _, err := decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
