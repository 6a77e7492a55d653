package ccmeasure

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// writeReport writes MEASUREMENTS.md and the plots into the folder dir.
func writeReport(dir string, rows []Row) error {
	var b strings.Builder
	b.WriteString("# Measurements\n\nWritten by `make measure` on " + time.Now().UTC().Format(time.DateOnly))
	fmt.Fprintf(&b, ", median of the seeds 1 to %d, %d cores. The scheduling policies are simulated in virtual time with the code of core/;\n", seeds, runtime.NumCPU())
	b.WriteString("idle, proxy, store and takeover are measured on real processes on loopback. A bound is on the column that `of` names.\n\n")
	b.WriteString("| figure | value | unit | baseline | ratio | bound | of | holds | weighed most by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range rows {
		r := &rows[i]
		sign := "≤ "
		if r.AtLeast {
			sign = "≥ "
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s%s | %s | %v | %s |\n", r.Name, number(r.Value), r.Unit,
			number(r.Baseline), number(r.Ratio), sign, number(r.Bound), r.BoundOn, r.Holds(), r.WeighedBy)
	}
	b.WriteString("\n![p99 of the wait against load](wait.svg)\n\n![p99 of one decision against workers](decision.svg)\n")
	if err := os.WriteFile(filepath.Join(dir, "MEASUREMENTS.md"), []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "writing the report")
	}
	if err := plotWait(filepath.Join(dir, "wait.svg")); err != nil {
		return err
	}
	return plotDecision(filepath.Join(dir, "decision.svg"))
}

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plotWait plots the wait during a burst against the peak load.
func plotWait(file string) error {
	p := plot.New()
	p.Title.Text = "Wait during a burst, p99"
	p.X.Label.Text = "offered load"
	p.Y.Label.Text = "ms"
	var own, plain plotter.XYs
	for _, load := range []float64{0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95} {
		own = append(own, plotter.XY{X: load, Y: burstWait(productPolicy(1), load, 99)})
		plain = append(plain, plotter.XY{X: load, Y: burstWait(randomFIFO(1), load, 99)})
	}
	return save(p, file, "two choices, by deadline", own, "random, first in first out", plain)
}

// plotDecision plots the time of one placement against the number of workers.
func plotDecision(file string) error {
	p := plot.New()
	p.Title.Text = "One placement, p99"
	p.X.Label.Text = "workers of one process"
	p.Y.Label.Text = "ms"
	var own plotter.XYs
	for _, n := range []int{50, 500, 1_000, targetWorkers, 6_000, 10_000} {
		p99, _ := measurePlacements(n)
		own = append(own, plotter.XY{X: float64(n), Y: p99})
	}
	return save(p, file, "best fit", own)
}

// save draws the lines, given as pairs of a name and points, and writes the plot to a file.
func save(p *plot.Plot, file string, lines ...any) error {
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "drawing a plot")
	}
	p.Y.Min = 0
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "writing a plot")
}
