package bench

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curveThresholds lists the ejection thresholds that Plot draws on its x axis. The
// thresholds derived from questionnaire answers are close to the highest of these;
// with them, false ejections are too rare to be counted in a simulation.
var curveThresholds = []float64{8, 10, 12, 14, 16, 18, 21, 24}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// plotRateTargetHours is the target-hours that a plotted rate of false ejections
	// refers to; rates above maxPlotRate are drawn at maxPlotRate.
	plotRateTargetHours = 10
	maxPlotRate         = 5
)

// Plot draws the time to detection and the rate of false ejections of each
// service by ejection threshold. The extension of file selects the format.
func Plot(file string, benches []Bench) error {
	p := plot.New()
	p.Title.Text = "Detection of a 5x slower target, at half load"
	p.Legend.Top = true
	p.X.Label.Text = "ejection threshold (log-likelihood ratio)"
	p.Y.Label.Text = "seconds to detection (p50); false ejections per 10 target-hours"
	for i, b := range benches {
		var times, rates plotter.XYs
		for _, point := range b.Curve(curveThresholds) {
			times = append(times, plotter.XY{X: point.Threshold, Y: point.Detection.Seconds()})
			rates = append(rates, plotter.XY{X: point.Threshold, Y: math.Min(maxPlotRate, plotRateTargetHours*point.PerHour)})
		}
		if err := addLines(p, i, b.Name, times, rates); err != nil {
			return fmt.Errorf("draw curves of service %s: %w", b.Name, err)
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

func addLines(p *plot.Plot, i int, name string, times, rates plotter.XYs) error {
	detection, err := plotter.NewLine(times)
	if err != nil {
		return err
	}
	ejections, err := plotter.NewLine(rates)
	if err != nil {
		return err
	}
	detection.Color = plotutil.Color(i)
	ejections.Color = plotutil.Color(i)
	ejections.Dashes = plotutil.Dashes(1)
	p.Add(detection, ejections)
	p.Legend.Add(name+": detection", detection)
	p.Legend.Add(name+": false ejections", ejections)
	return nil
}
