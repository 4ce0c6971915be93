package connpool

import (
	"fmt"
	"testing"
)

// benchPlan returns a plan with as many caches as servers says, and the names of the caches. A fleet usually has 200
// caches, the largest one 3,200.
func benchPlan(servers int) (*Plan, []string) {
	names := make([]string, servers)
	for n := range names {
		names[n] = fmt.Sprintf("s-%08x-0", uint32(n)*2654435761)
	}
	p := New(Config{Router: "n0", Seed: 1, Routers: 900, MaxConnections: 500, MaxConnectRate: 100})
	p.SetEndpoints(0, names)
	return p, names
}

func BenchmarkSetEndpoints(b *testing.B) {
	for _, servers := range []int{12, 200, 800, 3200} {
		p, names := benchPlan(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				names[n%servers] = fmt.Sprintf("s-new-%d", n) // a new name, so that the list replaces one cache
				p.SetEndpoints(int64(n), names)
			}
		})
	}
}

func BenchmarkPreconnect(b *testing.B) {
	for _, servers := range []int{12, 200, 800, 3200} {
		p, _ := benchPlan(servers)
		for now := int64(0); now < 100*second; now += second {
			p.Preconnect(now)
		}
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Preconnect(100 * second)
			}
		})
	}
}
