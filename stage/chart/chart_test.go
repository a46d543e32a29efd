package chart

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSave(t *testing.T) {
	for name, log := range map[string]bool{"bars": false, "points": true} {
		t.Run(name, func(t *testing.T) { save(t, log) })
	}
}

func save(t *testing.T, log bool) {
	t.Helper()
	c := Chart{Title: "gap", Log: log, Path: filepath.Join(t.TempDir(), "plots", "gap.svg")}
	c.Add("fair", "balanced", 1)
	c.Add("alone", "balanced", 4)
	c.Add("fair", "skewed", 2)
	if err := c.Save(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(c.Path)
	if err != nil || !strings.Contains(string(text), "skewed") {
		t.Errorf("the picture lacks a group: %v", err)
	}
}

func TestEmptyChartIsNotDrawn(t *testing.T) {
	c := Chart{Path: filepath.Join(t.TempDir(), "none.svg")}
	if err := c.Save(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(c.Path); err == nil {
		t.Error("a chart without bars was drawn")
	}
}
