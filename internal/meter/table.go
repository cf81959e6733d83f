package meter

import (
	"strings"
	"sync/atomic"
	"unicode"

	prom "github.com/prometheus/client_golang/prometheus"
)

// maxLabelBytes bounds the label values of a table's rows, which may be free text.
const maxLabelBytes = 128

// Column is one of the gauges of a table.
type Column struct {
	Name, Help string
}

// Row holds the values of a table's gauges for one value of its label.
type Row struct {
	Label  string
	Values []float64
}

// Table is a set of gauges with a label whose values come and go. Gauges of a tally scope stay for as long as the process
// runs, and their label values lose all characters but letters and digits, so that two of them may look the same.
type Table struct {
	columns []*prom.Desc
	rows    atomic.Pointer[[]Row]
}

var _ prom.Collector = (*Table)(nil)

// NewTable adds a table without rows to the metrics.
func (m *Meter) NewTable(label string, columns ...Column) *Table {
	t := &Table{}

	for _, column := range columns {
		t.columns = append(t.columns, prom.NewDesc(prefix+"_"+column.Name, column.Help, []string{label}, m.tags))
	}

	// As with other metrics, one that cannot be registered must not stop the process.
	_ = m.registry.Register(t)

	return t
}

// Set replaces the rows. Characters that cannot be shown are replaced in labels, and rows whose labels then are the same are
// added up. Each row needs a value for each column. Set does nothing for a nil table.
func (t *Table) Set(rows []Row) {
	if t == nil {
		return
	}

	merged := make([]Row, 0, len(rows))
	positions := make(map[string]int, len(rows))

	for _, row := range rows {
		label := cleanLabel(row.Label)

		at, ok := positions[label]
		if !ok {
			at = len(merged)
			positions[label] = at
			merged = append(merged, Row{Label: label, Values: make([]float64, len(t.columns))})
		}

		for i, value := range row.Values {
			merged[at].Values[i] += value
		}
	}

	t.rows.Store(&merged)
}

// cleanLabel returns a label that every reader of the text format takes for one value: the format escapes quotes,
// backslashes and line feeds, but not the other characters that end a line for some readers.
func cleanLabel(label string) string {
	clean := strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsGraphic(r) {
			return '_'
		}

		return r
	}, label)

	if len(clean) > maxLabelBytes {
		clean = strings.ToValidUTF8(clean[:maxLabelBytes], "")
	}

	return clean
}

// Describe sends the descriptions of the gauges.
func (t *Table) Describe(descriptions chan<- *prom.Desc) {
	for _, column := range t.columns {
		descriptions <- column
	}
}

// Collect sends the gauges of the rows.
func (t *Table) Collect(metrics chan<- prom.Metric) {
	rows := t.rows.Load()
	if rows == nil {
		return
	}

	for _, row := range *rows {
		for i, column := range t.columns {
			if gauge, err := prom.NewConstMetric(column, prom.GaugeValue, row.Values[i], row.Label); err == nil {
				metrics <- gauge
			}
		}
	}
}
