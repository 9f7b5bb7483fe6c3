// Package renderer renders line charts over time as SVG images.
package renderer

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Line is a named series of values at the x coordinates 0, 1, 2 and so on.
type Line struct {
	Name   string
	Values []float64
}

// Draw returns an SVG image of a chart with a title, labels of the x and y axes and the lines.
func Draw(title, x, y string, lines []Line) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Legend.Top = false
	for i, line := range lines {
		points := make(plotter.XYs, len(line.Values))
		for j, v := range line.Values {
			points[j] = plotter.XY{X: float64(j), Y: v}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("draw the line %q: %w", line.Name, err)
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(line.Name, drawn)
	}
	canvas := vgsvg.New(8*vg.Inch, 4*vg.Inch)
	p.Draw(draw.New(canvas))
	var image bytes.Buffer
	if _, err := canvas.WriteTo(&image); err != nil {
		return nil, fmt.Errorf("write the image: %w", err)
	}
	return image.Bytes(), nil
}
