package experiment

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	pausePlotWidth  = 16 * vg.Centimeter
	pausePlotHeight = 9 * vg.Centimeter
)

// PlotPauses draws how the load returns after a pause of three seconds of half of each region's targets, as the average over the seeds:
// of the VMs that were told, relative to their load before. Series holds results by the name of the code that gave them.
func PlotPauses(file string, names []string, series map[string][]PauseResult) error {
	pl := plot.New()
	pl.Title.Text = "return of the load after a pause of 3 s of half of the targets"
	pl.X.Label.Text, pl.Y.Label.Text = "time after the end of the pause, ms", "load of VMs that were told, relative"
	pl.Y.Min = 0
	pl.Legend.Top = false
	nr := 0
	for _, name := range names {
		for _, vms := range []int{10, 58, 195} {
			points := returnPoints(series[name], vms)
			line, dots, err := plotter.NewLinePoints(points)
			if err != nil {
				return err
			}
			line.Color, dots.Color, dots.Shape = plotutil.Color(nr), plotutil.Color(nr), plotutil.Shape(nr)
			pl.Add(line, dots)
			pl.Legend.Add(fmt.Sprintf("%s, %d VMs", name, vms), line, dots)
			nr++
		}
	}
	return pl.Save(pausePlotWidth, pausePlotHeight, file)
}

// returnPoints returns the average return of the load for a number of VMs.
func returnPoints(all []PauseResult, vms int) plotter.XYs {
	points := make(plotter.XYs, pauseAfter/returnStep)
	seeds := 0
	for _, rs := range all {
		if rs.VMs != vms || rs.Pause != 3*time.Second || rs.Concentrated {
			continue
		}
		seeds++
		for step, load := range rs.ReturnTold {
			points[step].Y += load
		}
	}
	for step := range points {
		points[step].X = float64((time.Duration(step)*returnStep + returnStep/2).Milliseconds())
		points[step].Y /= float64(max(seeds, 1))
	}
	return points
}
