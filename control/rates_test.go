package control

import (
	"fmt"
	"math"
	"testing"
)

func TestRatesIgnoreClientRetries(t *testing.T) {
	for _, c := range []struct {
		name   string
		repeat bool
		want   float64
	}{{"first tries count, scaled to the location", false, 2}, {"marked repeats do not", true, 0.2}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			var record *objectRecord
			for i := range 10 {
				request := ask("harmless", "a")
				request.ClientRetry = c.repeat && i > 0
				record = r.rates.record(start+10*second, request)
			}
			if got := r.locationRate(start+10*second, record); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("rate %v, want %v", got, c.want)
			}
		})
	}
}

func TestEvictedObjectsKeepTheirRates(t *testing.T) {
	r := newRouter(t, nil)
	r.rates.record(start, ask("harmless", "kept"))
	for i := range maxObjects + 5 {
		r.rates.record(start, ask("harmless", fmt.Sprint("other", i)))
	}
	record := r.rates.objects[objectKey{object: "kept"}]
	if record == nil || !record.evicted {
		t.Fatal("an object pushed out is not among the ghosts")
	}
	again := r.rates.record(start, ask("harmless", "kept"))
	if again.evicted || again.requestCount != 2 || r.rates.recentObjects.Len() > maxObjects {
		t.Errorf("back from the ghosts: ghost %v, count %v, table %v", again.evicted, again.requestCount, r.rates.recentObjects.Len())
	}
}

// However many objects are asked for, the records are bounded, and the one that was not asked for longest goes
// first.
func TestRecordsAreBounded(t *testing.T) {
	rates := newRequestRates(start)
	for n := range 2*maxObjects + 2 {
		rates.record(start, &Request{Object: fmt.Sprint(n)})
	}
	if len(rates.objects) != 2*maxObjects || rates.recentObjects.Len() != maxObjects || rates.evictedObjects.Len() != maxObjects {
		t.Errorf("%d records, %d recent, %d evicted", len(rates.objects), rates.recentObjects.Len(), rates.evictedObjects.Len())
	}
	if rates.objects[objectKey{object: "1"}] != nil || rates.objects[objectKey{object: "2"}] == nil {
		t.Error("others than the oldest went")
	}
}
