package report

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gonum.org/v1/plot/plotter"
)

func TestPercentile(t *testing.T) {
	for _, test := range []struct {
		values  []float64
		percent int
		want    float64
	}{
		{nil, 50, 0},
		{[]float64{7}, 99, 7},
		{[]float64{1, 2, 3, 4}, 50, 3},
		{[]float64{1, 2, 3, 4}, 100, 4},
	} {
		if got := Percentile(test.values, test.percent); got != test.want {
			t.Errorf("percentile %d of %v is %g, want %g", test.percent, test.values, got, test.want)
		}
	}
}

func TestWriteCSV(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.csv")
	if err := WriteCSV(path, []string{"a", "b"}, [][]string{{"1", "x y"}, {"2", "x,y"}}); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != "a,b\n1,x y\n2,\"x,y\"\n" {
		t.Errorf("the file holds %q, want a header and two rows; error %v", got, err)
	}
	if err := WriteCSV(filepath.Join(path, "in-a-file"), nil, nil); err == nil {
		t.Error("WriteCSV accepts a path below a regular file")
	}
}

func TestChartNamesItsSeries(t *testing.T) {
	path := filepath.Join(t.TempDir(), "chart.svg")
	points := plotter.XYs{{X: 0, Y: 1}, {X: 1, Y: 2}}
	chart := Chart{
		Title:   "Calls",
		XLabel:  "s",
		YLabel:  "calls a second",
		Markers: true,
		Series:  []Series{{Baseline: true, Points: points}, {Points: points}},
	}
	if err := chart.Save(path); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, word := range []string{"Calls", "calls a second", BaselineName, CurrentName} {
		if !strings.Contains(string(got), ">"+word+"<") {
			t.Errorf("the chart does not contain the text %q", word)
		}
	}
	chart.Series = []Series{{Points: plotter.XYs{{X: math.NaN()}}}}
	if err := chart.Save(path); err == nil {
		t.Error("Save accepts a point whose coordinate is not a number")
	}
}
