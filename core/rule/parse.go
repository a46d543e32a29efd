package rule

import (
	"fmt"
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Parse parses a rule file. If the file is invalid, the error is an *Errors with every fault found.
func Parse(text []byte) (*File, error) {
	p := parser{file: &File{}}
	rest := string(text)
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		p.line++
		p.readLine(strings.TrimSuffix(line, "\r"))
	}
	p.checkFile()
	if len(p.errors) > 0 {
		sort.SliceStable(p.errors, func(i, j int) bool {
			a, b := &p.errors[i], &p.errors[j]
			return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
		})
		return nil, &Errors{List: p.errors}
	}
	return p.file, nil
}

// position is the line and column of a name in the file.
type position struct{ line, column int }

// reference is a use of a name that must be declared in the file.
type reference struct {
	position
	name string
}

// parser holds the state of a parse.
type parser struct {
	file   *File
	errors []Error
	line   int

	words     []word // words of the current line; the backing array is reused for the next line
	next      int    // index in words of the next word
	endColumn int    // column after the last word
	comment   string

	dataCentres, products, servers, teams map[string]position
	addresses                             map[string]position
	digests                               map[[32]byte]position
	productUses, dataCentreUses           []reference
}

func (p *parser) addError(column int, reason Reason, text, instead string) {
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
	p.endColumn = last.column + len(last.text)
	if !found || p.comment == "" {
		p.addError(p.endColumn, ReasonMissingComment, "", "end the line with # and who asked for the rule")
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
		p.failUnknown(head, wordDataCentre, wordProduct, wordServer, wordTeam)
		return
	}
	if p.next < len(p.words) {
		w := p.words[p.next]
		p.addError(w.column, ReasonExtraWord, w.text, "end the rule before this word")
	}
}

// checkText reports whether a line is plain text, and adds an error if it is not.
func (p *parser) checkText(line string) bool {
	for i, r := range line {
		if r == utf8.RuneError || r != '\t' && unicode.IsControl(r) {
			p.addError(i+1, ReasonBadText, fmt.Sprintf("%q", r), "write plain UTF-8 text without control characters")
			return false
		}
	}
	return true
}

// failUnknown adds an error for a word that is not allowed, suggesting the most similar allowed one.
func (p *parser) failUnknown(w word, allowed ...string) {
	instead := "write " + strings.Join(allowed, " or ")
	if near := nearest(w.text, allowed); near != "" {
		instead = "write " + near
	}
	p.addError(w.column, ReasonUnknownWord, w.text, instead)
}

// nextWord returns the next word of the line. At the end of the line it adds an error that names the missing word.
func (p *parser) nextWord(missing string) (word, bool) {
	if p.next == len(p.words) {
		p.addError(p.endColumn, ReasonMissingWord, "", "add "+missing)
		return word{}, false
	}
	p.next++
	return p.words[p.next-1], true
}

// skipRest skips the rest of a line after its first fault.
func (p *parser) skipRest() { p.next = len(p.words) }

// checkFile adds errors that can be found only after the whole file was read: an empty file and undeclared names.
func (p *parser) checkFile() {
	if p.line == 0 || len(p.dataCentres)+len(p.products)+len(p.servers)+len(p.teams) == 0 && len(p.errors) == 0 {
		p.line = max(p.line, 1)
		p.addError(1, ReasonEmptyFile, "", "write at least one rule")
	}
	p.checkUses(p.productUses, p.products, wordProduct)
	p.checkUses(p.dataCentreUses, p.dataCentres, wordDataCentre)
}

func (p *parser) checkUses(uses []reference, declared map[string]position, kind string) {
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
		p.addError(u.column, ReasonDangling, u.name, instead)
	}
}
