package rule

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzParse requires that any text is either rejected with reasons, or accepted and unchanged by formatting and parsing it again.
func FuzzParse(f *testing.F) {
	examples, err := filepath.Glob("../../examples/*.rules")
	if err != nil || len(examples) == 0 {
		f.Fatalf("no example files: %v", err)
	}
	for _, name := range examples {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text)
		if err != nil {
			checkErrors(t, err)
			return
		}
		reparsed, err := Parse([]byte(file.String()))
		if err != nil {
			t.Fatalf("canonical text rejected: %v", err)
		}
		if diff := cmp.Diff(file, reparsed); diff != "" {
			t.Fatal(diff)
		}
		if changes := Diff(file, reparsed); changes != nil {
			t.Fatalf("changes between a file and its canonical form: %v", changes)
		}
	})
}

func checkErrors(t *testing.T, err error) {
	t.Helper()
	var faults *Errors
	if !errors.As(err, &faults) || len(faults.List) == 0 {
		t.Fatalf("error is %v, want an *Errors with faults", err)
	}
	for _, e := range faults.List {
		if e.Line < 1 || e.Column < 1 || e.Reason == ReasonNone || e.Instead == "" {
			t.Fatalf("incomplete error %+v", e)
		}
	}
}

// TestExamples requires that the example files have the sizes documented in docs/RULES.md.
func TestExamples(t *testing.T) {
	type sizes struct{ DataCentres, Products, Servers, Teams int }
	for _, name := range []string{"chenab", "carraig"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile("../../examples/" + name + ".rules")
			if err != nil {
				t.Fatal(err)
			}
			f, err := Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			got := sizes{len(f.DataCentres), len(f.Products), len(f.Servers), len(f.Teams)}
			if diff := cmp.Diff(sizes{3, 2, 13, 15}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
