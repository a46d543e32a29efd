package gauge

import (
	"strings"
	"testing"

	"mangolug.org/mangoctl/stream"
	"mangolug.org/stage/trial"
)

func TestPageGivesMedianAndSpread(t *testing.T) {
	s, out, _ := stream.Test()
	o := &Options{Streams: s}
	rows := []*Row{{User: "chenab", Case: "balanced", Policy: "fair", Failed: 1, Runs: []trial.Figures{
		{Gap: 3, Utilisation: 0.97}, {Gap: 1, Utilisation: 0.99}, {Gap: 2, Utilisation: 0.98, OverLimit: 1, Lost: 4},
	}}}
	if err := o.writePage(rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"3, 1 failed", "2.0 (1.0 to 3.0)", "98.0 (97.0 to 99.0)", "| 1 | 4 | 0 | 0 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("page lacks %q:\n%s", want, out)
		}
	}
}

func TestCheckNamesTheFlag(t *testing.T) {
	tests := map[string]struct {
		options Options
		want    string
	}{
		"no runs":      {options: Options{Length: 2}, want: "--runs"},
		"too short":    {options: Options{Runs: 1, Length: 1, Warmup: 1}, want: "--length"},
		"unknown case": {options: Options{Runs: 1, Length: 2, Cases: []string{"stormy"}}, want: "--case"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := c.options.check(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v does not name %s", err, c.want)
			}
		})
	}
}
