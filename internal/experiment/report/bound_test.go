package report

import (
	"os"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg/draw"
)

func TestBoundErrorNamesItsPage(t *testing.T) {
	tests := []struct {
		err  BoundError
		want string
	}{
		{BoundError{Page: "docs/duties.md"}, "a bound of docs/duties.md is broken"},
		{
			BoundError{Page: "docs/membership.md", Detail: "links"},
			"a bound of docs/membership.md is broken: links",
		},
	}
	for _, test := range tests {
		if got := test.err.Error(); got != test.want {
			t.Errorf("error %q, want %q", got, test.want)
		}
	}
}

func TestWriteJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "result.json")
	if err := WriteJSON(path, []int{1}); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "[\n 1\n]" {
		t.Errorf("JSON of []int{1}: got %q, error %v", raw, err)
	}
	if err := WriteJSON(path, func() {}); err == nil {
		t.Error("no error for a function, which cannot be written as JSON")
	}
}

func TestChartInSeveralFormats(t *testing.T) {
	path := filepath.Join(t.TempDir(), "chart")
	points := plotter.XYs{{X: 0, Y: 1}, {X: 1, Y: 2}}
	chart := Chart{XMax: 1, FromZero: true, Series: []Series{
		{Name: "kills", Points: points, Color: Green, Shape: draw.CircleGlyph{}},
		{Name: "bound", Points: points, Color: Black, Dashed: true},
	}}
	if err := chart.SaveAs(path, "svg", "png"); err != nil {
		t.Fatal(err)
	}
	for _, ending := range []string{".svg", ".png"} {
		if info, err := os.Stat(path + ending); err != nil || info.Size() == 0 {
			t.Errorf("chart%s: want a non-empty file, got error %v", ending, err)
		}
	}
}
