package works

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"mangolug.org/core/rule"
	"mangolug.org/stage/local"
)

// Size is how many backend servers a site has, and their limits.
type Size struct {
	Engines     int
	Desks       int
	EngineLimit int // concurrent requests of each
	DeskLimit   int // concurrent calls of each
}

// ReadSite reads a user's rule file and gives the site and its size; addresses and keys are replaced by local ones when it runs.
func ReadSite(base local.Site, path string) (local.Site, Size, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return base, Size{}, errors.Wrap(err, "read rule file")
	}
	file, err := rule.Parse(text)
	if err != nil {
		return base, Size{}, errors.Wrap(err, filepath.Base(path))
	}
	return siteOf(base, file)
}

func siteOf(s local.Site, file *rule.File) (local.Site, Size, error) {
	s.DataCentres, s.Teams = nil, nil
	for _, d := range file.DataCentres {
		s.DataCentres = append(s.DataCentres, d.Name)
	}
	for _, t := range file.Teams {
		s.Teams = append(s.Teams, local.Team{Name: t.Name, Share: t.Share})
	}
	var size Size
	for _, v := range file.Servers {
		name := strings.TrimRight(strings.TrimRight(v.Name, "0123456789"), "-")
		switch v.Product {
		case s.Model:
			s.Engine, size.EngineLimit = name, v.Limit
			size.Engines++
		case s.Plain:
			s.Desk, size.DeskLimit = name, v.Limit
			size.Desks++
		}
	}
	if size.Engines == 0 || size.Desks == 0 || len(s.Teams) < 2 {
		return s, size, errors.Errorf("a site needs servers of %s and of %s, and two teams", s.Model, s.Plain)
	}
	return s, size, nil
}
