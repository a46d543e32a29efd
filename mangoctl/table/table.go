package table

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/lipgloss"
	"github.com/charmbracelet/lipgloss/table"
	"github.com/pkg/errors"

	"mangolug.org/mangoctl/stream"
)

// Table is a list of rows of one kind.
type Table struct {
	Kind   string // first field of each row in a pipe
	Title  string // heading on a terminal; the kind if empty
	Header []string
	Rows   [][]string
}

// Add appends a row.
func (t *Table) Add(cells ...string) { t.Rows = append(t.Rows, cells) }

// Write renders the table with its header on a terminal, and writes tab-separated rows without a header elsewhere.
func (t *Table) Write(s *stream.Streams) error {
	if s.Terminal {
		return t.draw(s)
	}
	for _, r := range t.Rows {
		line := strings.Join(append([]string{t.Kind}, r...), "\t")
		if _, err := fmt.Fprintln(s.Out, line); err != nil {
			return errors.Wrap(err, "write row")
		}
	}
	return nil
}

func (t *Table) draw(s *stream.Streams) error {
	drawn := table.New().
		Border(lipgloss.NormalBorder()).
		BorderColumn(false).
		BorderLeft(false).
		BorderRight(false).
		BorderTop(false).
		BorderBottom(false).
		StyleFunc(func(_, _ int) lipgloss.Style { return lipgloss.NewStyle().PaddingRight(2) }).
		Headers(t.Header...).
		Rows(t.Rows...)
	title := t.Title
	if title == "" {
		title = t.Kind
	}
	_, err := fmt.Fprintf(s.Out, "%s\n%s\n\n", strings.ToUpper(title), drawn.Render())
	return errors.Wrap(err, "write table")
}
