package rule

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzParse requires of any text that it is refused with reasons, or accepted and written again as the same file.
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
		again, err := Parse([]byte(file.String()))
		if err != nil {
			t.Fatalf("canonical text refused: %v", err)
		}
		if diff := cmp.Diff(file, again); diff != "" {
			t.Fatal(diff)
		}
		if changes := Diff(file, again); changes != nil {
			t.Fatalf("changes from itself: %v", changes)
		}
	})
}

func checkErrors(t *testing.T, err error) {
	t.Helper()
	var faults *Errors
	if !errors.As(err, &faults) || len(faults.List) == 0 {
		t.Fatalf("error %v", err)
	}
	for _, e := range faults.List {
		if e.Line < 1 || e.Column < 1 || e.Reason == ReasonNone || e.Instead == "" {
			t.Fatalf("incomplete error %+v", e)
		}
	}
}

// TestExamples requires of the example files the sizes that docs/RULES.md tells.
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
