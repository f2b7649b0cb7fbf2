package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// series is a cost that is measured at several sizes or rates.
type series struct {
	name string
	// unit is the unit of y.
	unit string
	x, y []float64
	// at is the value of x at which the table evaluates the line: that of the design size, or the largest number of records.
	at float64
}

func (s series) withPoint(x, y float64) series {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
	return s
}

// line is a line fitted by least squares.
type line struct {
	intercept, slope float64
	// residual is the root mean square of the residuals.
	residual float64
}

func (s series) fit() line {
	intercept, slope := stat.LinearRegression(s.x, s.y, nil, false)
	squares := 0.0
	for i, x := range s.x {
		distance := s.y[i] - intercept - slope*x
		squares += distance * distance
	}
	return line{intercept: intercept, slope: slope, residual: math.Sqrt(squares / float64(len(s.x)))}
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// printTable prints one row per series with its points and its fitted line.
func printTable(w io.Writer, title string, measured []series) error {
	if len(measured) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "\n%s\n", title); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "\tunit\t%s\tintercept\tslope\tat %s\tresidual\n",
		strings.Join(formatNumbers(measured[0].x), "\t"), formatNumber(measured[0].at))
	for _, s := range measured {
		l := s.fit()
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.name, s.unit, strings.Join(formatNumbers(s.y), "\t"),
			formatNumber(l.intercept), formatNumber(l.slope), formatNumber(l.at(s.at)), formatNumber(l.residual))
	}
	return table.Flush()
}

func formatNumbers(values []float64) []string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		texts = append(texts, formatNumber(v))
	}
	return texts
}

// formatNumber formats a number with three significant digits, or all integer digits if it is 1000 or more.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
