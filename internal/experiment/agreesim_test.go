package experiment

import "testing"

func TestAgreeSimulated(t *testing.T) {
	for _, n := range []int{5, 20} {
		play := AgreeSim{Instances: n, Span: 1200e9, Seed: 7, Lease: 15e8, Renewal: 5e8, Every: 4e9}
		r := play.Run()
		if r.Broken > 0 || r.MaxMS > r.BoundMS || r.InForce < 20 || r.Share > 1+1e-9 {
			t.Errorf("%+v", r)
		}
		if n == 5 && play.Run() != r {
			t.Error("another play of the same seed differs")
		}
		t.Logf("%+v", r)
	}
}
