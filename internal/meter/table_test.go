package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTable guards against labels that break the text format, rows that hide each other, and gauges that stay after their
// rows are gone.
func TestTable(t *testing.T) {
	m := New("store", "core-0")
	table := m.NewTable("tenant", Column{Name: "running", Help: "help"}, Column{Name: "waiting", Help: "help"})

	lines := func() []string {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		assert.Equal(t, recorder.Code, 200)

		var found []string

		// Readers of the format differ in what ends a line.
		for _, line := range strings.FieldsFunc(recorder.Body.String(), func(r rune) bool {
			return strings.ContainsRune("\n\r\v\f\x1c\x1d\x1e\u0085\u2028\u2029", r)
		}) {
			if strings.HasPrefix(line, "mill_running") {
				found = append(found, line)
			}
		}

		return found
	}

	long := strings.Repeat("é", maxLabelBytes)
	table.Set([]Row{
		{Label: "a \"b\"\\\n} 1\u2028\r\x00\xff", Values: []float64{1, 0}},
		{Label: long + "x", Values: []float64{2, 0}},
		{Label: long + "y", Values: []float64{3, 0}},
		{Label: "", Values: []float64{4, 0}},
	})

	labels := func(tenant string) string { return `mill_running{role="store",tenant="` + tenant + `",vm="core_0"} ` }
	assert.DeepEqual(t, lines(), []string{
		labels("") + "4",
		labels(`a \"b\"\\_} 1____`) + "1",
		labels(long[:maxLabelBytes]) + "5",
	})

	table.Set(nil)
	assert.Equal(t, len(lines()), 0)

	(*Table)(nil).Set([]Row{{}})
}
