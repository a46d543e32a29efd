package admin

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles in the summary of each distribution.
var quantiles = []float64{0.5, 0.95, 0.99}

// writeText writes all metrics in the Prometheus text format. The part of a
// counter's name after the first dot becomes the value of the label kind.
func writeText(w io.Writer, registry metrics.Registry) {
	lines := map[string][]string{}
	kinds := map[string]string{}
	add := func(family, kind, line string) {
		kinds[family] = kind
		lines[family] = append(lines[family], line)
	}
	registry.Each(func(name string, m interface{}) {
		family, label := metricName(name)
		switch v := m.(type) {
		case metrics.Counter:
			family += "_total"
			add(family, "counter", fmt.Sprintf("%s%s %d", family, label, v.Count()))
		case metrics.Gauge:
			add(family, "gauge", fmt.Sprintf("%s%s %d", family, label, v.Value()))
		case metrics.GaugeFloat64:
			add(family, "gauge", fmt.Sprintf("%s%s %g", family, label, v.Value()))
		case metrics.Histogram:
			h := v.Snapshot()
			addSummary(add, family, h.Percentiles(quantiles), h.Count(), float64(h.Sum()))
		case metrics.Timer:
			t := v.Snapshot()
			addSummary(add, family, t.Percentiles(quantiles), t.Count(), float64(t.Sum()))
		}
	})
	families := make([]string, 0, len(lines))
	for f := range lines {
		families = append(families, f)
	}
	sort.Strings(families)
	for _, f := range families {
		sort.Strings(lines[f])
		fmt.Fprintf(w, "# TYPE %s %s\n%s\n", f, kinds[f], strings.Join(lines[f], "\n"))
	}
}

func addSummary(add func(family, kind, line string), family string, values []float64, count int64, sum float64) {
	for i, v := range values {
		add(family, "summary", fmt.Sprintf("%s{quantile=\"%g\"} %g", family, quantiles[i], v))
	}
	add(family, "summary", fmt.Sprintf("%s_count %d", family, count))
	add(family, "summary", fmt.Sprintf("%s_sum %g", family, sum))
}

func metricName(name string) (family, label string) {
	prefix, kind, found := strings.Cut(name, ".")
	family = "mangolug_" + sanitize(prefix)
	if found {
		label = fmt.Sprintf("{kind=%q}", kind)
	}
	return family, label
}

func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, s)
}
