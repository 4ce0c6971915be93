package experiment

import (
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// chart draws the gaps by kind of kill, each sorted, as SVG and PNG, with the bound as a line.
func chart(folder string, takeovers []Takeover, bound float64) error {
	p := plot.New()
	p.Title.Text = "Until all slots of a lost owner have a new one"
	p.X.Label.Text = "share of the kills of a kind"
	p.Y.Label.Text = "ms"
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, 1
	colours := []color.Color{color.RGBA{R: 0xb0, A: 0xff}, color.RGBA{G: 0x80, A: 0xff}, color.RGBA{B: 0xc0, A: 0xff},
		color.RGBA{R: 0x90, G: 0x60, A: 0xff}, color.RGBA{R: 0x60, B: 0x80, A: 0xff}}
	for i, how := range slices.Compact(slices.Clone(kinds)) {
		gaps := byKind(takeovers, how)
		if len(gaps) == 0 {
			continue
		}
		points := make(plotter.XYs, len(gaps))
		for k, g := range gaps {
			points[k] = plotter.XY{X: float64(k+1) / float64(len(gaps)), Y: g}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color, dots.Shape = colours[i], colours[i], draw.CircleGlyph{}
		p.Add(line, dots)
		p.Legend.Add(how, line, dots)
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: bound}, {X: 1, Y: bound}})
	if err != nil {
		return err
	}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(limit)
	p.Legend.Add("bound: lease and two renewals", limit)
	p.Legend.Top, p.Legend.Left = false, true
	for _, end := range []string{".svg", ".png"} {
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(folder, "duties"+end)); err != nil {
			return err
		}
	}
	return nil
}
