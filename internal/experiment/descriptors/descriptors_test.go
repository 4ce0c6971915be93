package descriptors

import "testing"

func TestCompare(t *testing.T) {
	results, err := Compare(t.Context(), 50)
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != len(methods) {
		t.Fatalf("got %d results, want one for each of %d methods: %+v", len(results), len(methods), results)
	}
	for _, result := range results {
		if result.Connections != 50 || result.WakeupP50Micros <= 0 || result.WakeupP99Micros < result.WakeupP50Micros {
			t.Errorf("want 50 connections and wake-up times above 0 that rise from p50 to p99, got %+v", result)
		}
	}
	if results[0].Goroutines < 50 || results[2].Goroutines > 5 {
		t.Errorf("got %d and %d goroutines, want at least 50 for %s and at most 5 for %s", results[0].Goroutines,
			results[2].Goroutines, results[0].Method, results[2].Method)
	}
}
