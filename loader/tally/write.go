package tally

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/charmbracelet/lipgloss"
	"github.com/charmbracelet/lipgloss/table"
	"github.com/pkg/errors"
)

// WriteJSON writes a result as JSON.
func WriteJSON(w io.Writer, r *Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "write result")
}

// Save writes a result to a file as JSON.
func Save(name string, r *Result) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create result file")
	}
	if err := WriteJSON(f, r); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "close result file")
}

// WriteTable writes a result as tables.
func WriteTable(w io.Writer, r *Result) error {
	_, err := fmt.Fprintf(w, "%s: %d requests, %d answered whole, %d not whole, seed %d, %v\n\n%s\n\n%s\n\n%s\n",
		r.Plan, r.Requests, r.Answered, r.NotWhole, r.Seed, time.Duration(r.DurationMillis)*time.Millisecond,
		teams(r), products(r), reasons(r))
	return errors.Wrap(err, "write result")
}

func teams(r *Result) string {
	t := plain("TEAM", "PRODUCT", "SHARE", "REQUESTS", "ANSWERED", "REFUSED", "OTHER", "SERVICE", "FIRST BYTE P50", "P95", "TOKEN P95", "WHOLE P95")
	for _, v := range r.Teams {
		answered, refused := v.Ends[OutcomeAnswered.String()], v.Ends[OutcomeRefused.String()]
		other := int64(0)
		for _, n := range v.Ends {
			other += n
		}
		t.Row(v.Team, v.Product, strconv.Itoa(v.Share), count(v.Requests), count(answered), count(refused), count(other-answered-refused),
			count(v.Service), micros(v.FirstByte.P50), micros(v.FirstByte.P95), micros(v.Between.P95), micros(v.Total.P95))
	}
	return t.Render()
}

func products(r *Result) string {
	t := plain("PRODUCT", "SERVICE", "GAP IN WINDOW", "OVER MEAN", "PAIR", "GAP ANY TIME", "UTILISATION", "PEAK RUNNING", "OVER LIMIT")
	for _, v := range r.Products {
		pair, relative, busy := "-", "-", "-"
		if v.Gap.TeamA != "" {
			pair = v.Gap.TeamA + ", " + v.Gap.TeamB
			relative = strconv.FormatFloat(v.Gap.Relative, 'f', 2, 64)
		}
		if v.Samples > 0 {
			busy = fmt.Sprintf("%.1f %%", 100*v.Utilisation)
		}
		t.Row(v.Product, count(v.Service), fmt.Sprintf("%.1f", v.Gap.Window), relative, pair, fmt.Sprintf("%.1f", v.Gap.Any), busy,
			strconv.Itoa(v.PeakRunning), strconv.Itoa(v.OverLimit))
	}
	return t.Render()
}

func reasons(r *Result) string {
	t := plain("OUTCOME AND REASON", "COUNT")
	names := make([]string, 0, len(r.Reasons))
	for name := range r.Reasons {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Row(name, count(r.Reasons[name]))
	}
	if len(names) == 0 {
		t.Row("none refused", "0")
	}
	return t.Render()
}

func plain(header ...string) *table.Table {
	return table.New().Border(lipgloss.NormalBorder()).
		BorderColumn(false).BorderLeft(false).BorderRight(false).BorderTop(false).BorderBottom(false).
		StyleFunc(func(_, _ int) lipgloss.Style { return lipgloss.NewStyle().PaddingRight(2) }).
		Headers(header...)
}

func count(n int64) string { return strconv.FormatInt(n, 10) }

func micros(n int64) string {
	if n == 0 {
		return "-"
	}
	return (time.Duration(n) * time.Microsecond).Round(10 * time.Microsecond).String()
}
