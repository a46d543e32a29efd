package works

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/stage/local"
)

func TestReadSite(t *testing.T) {
	root, err := local.Root()
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		base         local.Site
		engine, desk string
	}{
		"chenab":  {local.Chenab(), "stain", "desk"},
		"carraig": {local.Carraig(), "pool", "ledger"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, size, err := ReadSite(c.base, filepath.Join(root, "examples", name+".rules"))
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(c.base.DataCentres, s.DataCentres); d != "" {
				t.Error(d)
			}
			if size.Engines != 10 || size.Desks != 3 || len(s.Teams) < 15 {
				t.Errorf("%+v and %d teams", size, len(s.Teams))
			}
			if s.Engine != c.engine || s.Desk != c.desk {
				t.Errorf("engines are named %s, plain services %s", s.Engine, s.Desk)
			}
		})
	}
}
