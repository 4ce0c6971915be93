package control

import (
	"fmt"
	"math"
	"testing"
)

func TestRatesIgnoreClientRetries(t *testing.T) {
	for _, test := range []struct {
		name        string
		clientRetry bool
		want        float64
	}{{"requests count, scaled to the location", false, 2}, {"marked retries do not count", true, 0.2}} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			var record *objectRecord
			for i := range 10 {
				request := newRequest("harmless", "a")
				request.ClientRetry = test.clientRetry && i > 0
				record = router.rates.record(start+10*second, request)
			}
			if got := router.locationRate(start+10*second, record); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("rate in the location %v per second, want %v", got, test.want)
			}
		})
	}
}

func TestEvictedObjectsKeepTheirRates(t *testing.T) {
	router := newRouter(t, nil)
	router.rates.record(start, newRequest("harmless", "kept"))
	for i := range maxObjects + 5 {
		router.rates.record(start, newRequest("harmless", fmt.Sprint("other", i)))
	}
	record := router.rates.objects[objectKey{object: "kept"}]
	if record == nil || !record.evicted {
		t.Fatalf("record of the least recently requested object: %+v, want it kept and evicted", record)
	}
	again := router.rates.record(start, newRequest("harmless", "kept"))
	if again.evicted || again.requestCount != 2 || router.rates.recentObjects.Len() > maxObjects {
		t.Errorf("requested again: evicted %v, count %v, %d recent objects, want false, 2, at most %d",
			again.evicted, again.requestCount, router.rates.recentObjects.Len(), maxObjects)
	}
}

// Without a bound on the number of records, requests for ever new objects would use up the memory. The record of the
// least recently requested object is dropped first.
func TestRecordsAreBounded(t *testing.T) {
	rates := newRequestRates(start)
	for n := range 2*maxObjects + 2 {
		rates.record(start, &Request{Object: fmt.Sprint(n)})
	}
	recent, evicted := rates.recentObjects.Len(), rates.evictedObjects.Len()
	if len(rates.objects) != 2*maxObjects || recent != maxObjects || evicted != maxObjects {
		t.Errorf("%d records, %d recent, %d evicted, want %d, %d, %d",
			len(rates.objects), recent, evicted, 2*maxObjects, maxObjects, maxObjects)
	}
	if rates.objects[objectKey{object: "1"}] != nil || rates.objects[objectKey{object: "2"}] == nil {
		t.Error("want the records of objects 0 and 1 dropped, and that of object 2 kept")
	}
}
