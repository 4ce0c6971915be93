// Package report writes the results of experiments: tables as CSV, charts as SVG, and percentiles.
package report

import (
	"encoding/csv"
	"errors"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// Names and colours of the two curves that most charts compare.
const (
	BaselineName = "before"
	CurrentName  = "now"
)

var (
	baselineColor = color.RGBA{R: 0xb0, A: 0xff}
	currentColor  = color.RGBA{B: 0xc0, A: 0xff}
)

// WriteCSV writes a table.
func WriteCSV(path string, header []string, rows [][]string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	writer := csv.NewWriter(file)
	if err := writer.Write(header); err != nil {
		return err
	}
	return writer.WriteAll(rows)
}

// Series is one curve of a chart.
type Series struct {
	Baseline bool // red and called "before"; else blue and called "now"
	Points   plotter.XYs
}

// Chart is a line chart with one curve for each series.
type Chart struct {
	Title, XLabel, YLabel string
	FromZero              bool // the vertical axis begins at 0
	Markers               bool // each point is marked
	LegendTop             bool
	Series                []Series
}

// Save writes the chart; the ending of the path says in which format.
func (c Chart) Save(path string) error {
	canvas := plot.New()
	canvas.Title.Text = c.Title
	canvas.X.Label.Text = c.XLabel
	canvas.Y.Label.Text = c.YLabel
	if c.FromZero {
		canvas.Y.Min = 0
	}
	for _, series := range c.Series {
		if err := c.add(canvas, series); err != nil {
			return err
		}
	}
	canvas.Legend.Top = c.LegendTop
	return canvas.Save(chartWidth, chartHeight, path)
}

func (c Chart) add(canvas *plot.Plot, series Series) error {
	line, points, err := plotter.NewLinePoints(series.Points)
	if err != nil {
		return err
	}
	name := CurrentName
	line.Color = currentColor
	if series.Baseline {
		name = BaselineName
		line.Color = baselineColor
	}
	canvas.Add(line)
	if c.Markers {
		canvas.Add(points)
	}
	canvas.Legend.Add(name, line)
	return nil
}

// Percentile gives a percentile of sorted values, 0 if there are none.
func Percentile(sorted []float64, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
