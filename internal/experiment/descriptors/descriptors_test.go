package descriptors

import "testing"

func TestCompare(t *testing.T) {
	results, err := Compare(t.Context(), 50)
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != len(methods) {
		t.Fatalf("%+v", results)
	}
	for _, result := range results {
		if result.Connections != 50 || result.WakeupP50Micros <= 0 || result.WakeupP99Micros < result.WakeupP50Micros {
			t.Errorf("%+v", result)
		}
	}
	if results[0].Goroutines < 50 || results[2].Goroutines > 5 {
		t.Errorf("%+v", results)
	}
}
