package rule

import (
	"fmt"
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Parse reads a whole rule file; the error, if any, is an *Errors with every fault found.
func Parse(text []byte) (*File, error) {
	p := parser{file: &File{}}
	rest := string(text)
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		p.line++
		p.readLine(strings.TrimSuffix(line, "\r"))
	}
	p.checkWhole()
	if len(p.errors) > 0 {
		sort.SliceStable(p.errors, func(i, j int) bool {
			a, b := &p.errors[i], &p.errors[j]
			return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
		})
		return nil, &Errors{List: p.errors}
	}
	return p.file, nil
}

// place is where a name stands in the file.
type place struct{ line, column int }

// reference is a use of a name that must be declared somewhere in the file.
type reference struct {
	place
	name string
}

// parser holds what has been read so far.
type parser struct {
	file   *File
	errors []Error
	line   int

	words   []word // of the current line; its backing array is used again for the next
	next    int    // index of the next word to read
	end     int    // column after the last word
	comment string

	dataCentres, products, servers, teams map[string]place
	addresses                             map[string]place
	digests                               map[[32]byte]place
	productUses, dataCentreUses           []reference
}

func (p *parser) fail(column int, reason Reason, text, instead string) {
	p.errors = append(p.errors, Error{Line: p.line, Column: column, Reason: reason, Text: text, Instead: instead})
}

func (p *parser) readLine(line string) {
	if !p.checkText(line) {
		return
	}
	var found bool
	p.words, p.comment, found = split(line, p.words[:0])
	p.next = 0
	if len(p.words) == 0 {
		return
	}
	last := p.words[len(p.words)-1]
	p.end = last.column + len(last.text)
	if !found || p.comment == "" {
		p.fail(p.end, ReasonMissingComment, "", "end the line with # and who asked for the rule")
	}
	head := p.words[0]
	p.next = 1
	switch head.text {
	case wordDataCentre:
		p.readDataCentre()
	case wordProduct:
		p.readProduct()
	case wordServer:
		p.readServer()
	case wordTeam:
		p.readTeam()
	default:
		p.unknown(head, wordDataCentre, wordProduct, wordServer, wordTeam)
		return
	}
	if p.next < len(p.words) {
		w := p.words[p.next]
		p.fail(w.column, ReasonExtraWord, w.text, "end the rule before this word")
	}
}

// checkText refuses a line that is no plain text.
func (p *parser) checkText(line string) bool {
	for i, r := range line {
		if r == utf8.RuneError || r != '\t' && unicode.IsControl(r) {
			p.fail(i+1, ReasonBadText, fmt.Sprintf("%q", r), "write plain UTF-8 text without control characters")
			return false
		}
	}
	return true
}

// unknown reports a word that is none of the allowed ones, naming the nearest.
func (p *parser) unknown(w word, allowed ...string) {
	instead := "write " + strings.Join(allowed, " or ")
	if near := nearest(w.text, allowed); near != "" {
		instead = "write " + near
	}
	p.fail(w.column, ReasonUnknownWord, w.text, instead)
}

// take gives the next word; without one it reports what is missing.
func (p *parser) take(missing string) (word, bool) {
	if p.next == len(p.words) {
		p.fail(p.end, ReasonMissingWord, "", "add "+missing)
		return word{}, false
	}
	p.next++
	return p.words[p.next-1], true
}

// skip gives up on the rest of the line, whose first fault was reported.
func (p *parser) skip() { p.next = len(p.words) }

// checkWhole reports faults that only the whole file shows.
func (p *parser) checkWhole() {
	if p.line == 0 || len(p.dataCentres)+len(p.products)+len(p.servers)+len(p.teams) == 0 && len(p.errors) == 0 {
		p.line = max(p.line, 1)
		p.fail(1, ReasonEmptyFile, "", "write at least one rule")
	}
	p.checkUses(p.productUses, p.products, wordProduct)
	p.checkUses(p.dataCentreUses, p.dataCentres, wordDataCentre)
}

func (p *parser) checkUses(uses []reference, declared map[string]place, kind string) {
	var names []string
	for _, u := range uses {
		if _, found := declared[u.name]; found {
			continue
		}
		if names == nil {
			names = make([]string, 0, len(declared))
			for n := range declared {
				names = append(names, n)
			}
			sort.Strings(names)
		}
		instead := fmt.Sprintf("add a line %s %s, or name a declared %s", kind, u.name, kind)
		if near := nearest(u.name, names); near != "" {
			instead = "write " + near
		}
		p.line = u.line
		p.fail(u.column, ReasonDangling, u.name, instead)
	}
}
