package links

import (
	"fmt"
	"testing"
)

// plan200 is usual, plan3200 the largest fleet that the users' gate plays.
func benchPlan(servers int) (*Plan, []string) {
	names := make([]string, servers)
	for n := range names {
		names[n] = fmt.Sprintf("s-%08x-0", uint32(n)*2654435761)
	}
	p := New(Config{Self: "n0", Seed: 1, Routers: 900, Holds: 500, Opens: 100})
	p.Members(0, names)
	return p, names
}

func BenchmarkMembers(b *testing.B) {
	for _, servers := range []int{12, 200, 800, 3200} {
		p, names := benchPlan(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				names[n%servers] = fmt.Sprintf("s-new-%d", n) // one is replaced
				p.Members(int64(n), names)
			}
		})
	}
}

func BenchmarkAhead(b *testing.B) {
	for _, servers := range []int{12, 200, 800, 3200} {
		p, _ := benchPlan(servers)
		for now := int64(0); now < 100*second; now += second {
			p.Ahead(now)
		}
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Ahead(100 * second)
			}
		})
	}
}
