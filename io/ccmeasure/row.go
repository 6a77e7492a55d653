package ccmeasure

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// Row is a measured figure with its baseline and bound.
type Row struct {
	Name     string
	Value    float64
	Unit     string
	Baseline float64
	Ratio    float64
	// Bound is an upper limit: of Ratio if BoundOn is "Ratio", and of Value if BoundOn is "Value".
	Bound   float64
	BoundOn string
	// AtLeast makes Bound a lower limit.
	AtLeast bool
	// WeighedBy is the example deployment (Agency or Vetterli, see examples/) for which the figure matters most, or "" if
	// it matters equally for both.
	WeighedBy string
}

// Holds reports whether the figure is within its bound.
func (r *Row) Holds() bool {
	v := r.Value
	if r.BoundOn == "Ratio" {
		v = r.Ratio
	}
	if r.AtLeast {
		return v >= r.Bound
	}
	return v <= r.Bound
}

// String returns the row as the line that the command measure prints.
func (r *Row) String() string {
	return fmt.Sprintf("MEASURE %s Value=%s Unit=%s Baseline=%s Ratio=%s Bound=%s Of=%s Holds=%v",
		r.Name, number(r.Value), r.Unit, number(r.Baseline), number(r.Ratio), number(r.Bound), r.BoundOn, r.Holds())
}

// number formats a figure with four significant digits, and NaN and infinity as "-".
func number(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "-"
	}
	return fmt.Sprintf("%.4g", v)
}

// ratioRow returns a row whose bound limits the ratio of the value to the baseline.
func ratioRow(name, unit string, value, baseline, bound float64) Row {
	ratio := 1.0
	if baseline != 0 {
		ratio = value / baseline
	} else if value > 0 {
		ratio = math.Inf(1)
	}
	return Row{Name: name, Value: value, Unit: unit, Baseline: baseline, Ratio: ratio, Bound: bound, BoundOn: "Ratio"}
}

// valueRow returns a row whose bound limits the value.
func valueRow(name, unit string, value, baseline, bound float64) Row {
	r := ratioRow(name, unit, value, baseline, bound)
	r.BoundOn = "Value"
	return r
}

// median returns the median of an odd number of values. It sorts them in place.
func median(values ...float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// Print writes the rows to w, one per line.
func Print(w io.Writer, rows []Row) {
	for i := range rows {
		_, _ = fmt.Fprintln(w, rows[i].String())
	}
}
