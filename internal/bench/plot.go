package bench

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// fileName converts the name of a figure for use in a file name.
func fileName(name string) string { return strings.ReplaceAll(strings.ToLower(name), " ", "-") }

// writePlots writes a PNG file for each plot of a result.
func writePlots(dir string, rs *Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create directory of plots")
	}
	byPlot := make(map[string][]Curve)
	for _, cv := range rs.Curves {
		byPlot[cv.Plot] = append(byPlot[cv.Plot], cv)
	}
	for name, curves := range byPlot {
		if err := writePlot(filepath.Join(dir, name+".png"), rs.Measurement, curves); err != nil {
			return errors.Wrapf(err, "write plot %s", name)
		}
	}
	return nil
}

// writePlot draws the curves of one plot into a PNG file.
func writePlot(file, title string, curves []Curve) error {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = title, curves[0].XLab, curves[0].YLab
	pl.Y.Min = 0
	pl.Legend.Top, pl.Legend.Left = true, true
	for nr, cv := range curves {
		points := make(plotter.XYs, len(cv.X))
		for pt := range points {
			points[pt] = plotter.XY{X: cv.X[pt], Y: cv.Y[pt]}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(nr), plotutil.Color(nr), plotutil.Shape(nr)
		pl.Add(line, dots)
		pl.Legend.Add(cv.Name, line, dots)
	}
	return pl.Save(plotWidth, plotHeight, file)
}
