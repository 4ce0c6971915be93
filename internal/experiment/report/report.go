// Package report writes the results of experiments as JSON, CSV tables and charts. It also computes percentiles and
// defines the error for a result that breaks a bound.
package report

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Dimensions of all charts.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	dashLength  = 4 // length of dashes and of the gaps between them, in points
)

// Names of the two curves that most charts compare.
const (
	BaselineName = "before"
	CurrentName  = "now"
)

// Colors of the two curves that most charts compare.
var (
	baselineColor = color.RGBA{R: 0xb0, A: 0xff}
	currentColor  = color.RGBA{B: 0xc0, A: 0xff}
)

// Colors for charts that compare other curves.
var (
	Black  = color.RGBA{A: 0xff}
	Red    = baselineColor
	Green  = color.RGBA{G: 0x80, A: 0xff}
	Blue   = currentColor
	Brown  = color.RGBA{R: 0x90, G: 0x60, A: 0xff}
	Purple = color.RGBA{R: 0x60, B: 0x80, A: 0xff}
)

// WriteJSON writes a value to a file as indented JSON.
func WriteJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return os.WriteFile(path, raw, 0o644)
}

// WriteCSV writes a header and rows to a CSV file.
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
	Baseline bool // red and named BaselineName; other series are blue and named CurrentName
	Points   plotter.XYs

	Name   string      // used instead of BaselineName or CurrentName, unless empty
	Color  color.Color // used instead of red or blue, unless nil
	Dashed bool
	Shape  draw.GlyphDrawer // marker of each point and in the legend; nil draws none
}

// Chart is a line chart with one curve for each series.
type Chart struct {
	Title, XLabel, YLabel string
	FromZero              bool    // the vertical axis starts at 0
	XMax                  float64 // end of the horizontal axis, which then starts at 0; 0 fits the axis to the points
	Markers               bool    // draw a marker at each point
	LegendTop             bool
	LegendLeft            bool
	Series                []Series
}

// Save writes the chart to a file. The path's extension selects the format.
func (c Chart) Save(path string) error {
	canvas := plot.New()
	canvas.Title.Text = c.Title
	canvas.X.Label.Text = c.XLabel
	canvas.Y.Label.Text = c.YLabel
	if c.FromZero {
		canvas.Y.Min = 0
	}
	if c.XMax > 0 {
		canvas.X.Min, canvas.X.Max = 0, c.XMax
	}
	for _, series := range c.Series {
		if err := c.add(canvas, series); err != nil {
			return err
		}
	}
	canvas.Legend.Top, canvas.Legend.Left = c.LegendTop, c.LegendLeft
	return canvas.Save(chartWidth, chartHeight, path)
}

// SaveAs writes the chart in several formats, such as "svg", each to the path with the format as extension.
func (c Chart) SaveAs(path string, formats ...string) error {
	for _, format := range formats {
		if err := c.Save(path + "." + format); err != nil {
			return err
		}
	}
	return nil
}

func (c Chart) add(canvas *plot.Plot, series Series) error {
	name, lineColor := series.label()
	line, points, err := plotter.NewLinePoints(series.Points)
	if err != nil {
		return fmt.Errorf("chart series %q: %w", name, err)
	}
	line.Color = lineColor
	if series.Dashed {
		line.Dashes = []vg.Length{vg.Points(dashLength), vg.Points(dashLength)}
	}
	canvas.Add(line)
	if series.Shape != nil {
		points.Color = lineColor
		points.Shape = series.Shape
		canvas.Add(points)
		canvas.Legend.Add(name, line, points)
		return nil
	}
	if c.Markers {
		canvas.Add(points)
	}
	canvas.Legend.Add(name, line)
	return nil
}

// label returns the name and the color of a series: those that Baseline selects, unless Name or Color is set.
func (s Series) label() (string, color.Color) {
	name, lineColor := CurrentName, color.Color(currentColor)
	if s.Baseline {
		name, lineColor = BaselineName, baselineColor
	}
	if s.Name != "" {
		name = s.Name
	}
	if s.Color != nil {
		lineColor = s.Color
	}
	return name, lineColor
}

// Percentile returns a percentile, from 0 to 100, of values in ascending order. It returns 0 if there are none.
func Percentile(sorted []float64, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
