package rule

import (
	"encoding/hex"
	"strconv"
	"strings"
)

// String returns the file as canonical text, which Parse accepts. It does not include comments on lines without a rule.
func (f *File) String() string {
	var b strings.Builder
	for _, d := range f.DataCentres {
		writeLine(&b, d.Comment, wordDataCentre, d.Name, d.state())
	}
	for _, p := range f.Products {
		words := []string{wordProduct, p.Name, p.Kind.String()}
		for _, c := range p.NonIdempotent {
			words = append(words, wordOnce, c.Method, c.Path)
		}
		writeLine(&b, p.Comment, words...)
	}
	for _, s := range f.Servers {
		words := []string{
			wordServer, s.Name, wordProduct, s.Product, wordDataCentre, s.DataCentre,
			wordAddress, s.Address, wordLimit, strconv.Itoa(s.Limit),
		}
		if s.Fencing {
			words = append(words, wordFencing)
		}
		writeLine(&b, s.Comment, words...)
	}
	for _, t := range f.Teams {
		writeLine(&b, t.Comment, wordTeam, t.Name, wordShare, strconv.Itoa(t.Share), wordKey, t.digestText())
	}
	return b.String()
}

func writeLine(b *strings.Builder, comment string, words ...string) {
	for _, w := range words {
		b.WriteString(w)
		b.WriteByte(' ')
	}
	b.WriteString("# ")
	b.WriteString(comment)
	b.WriteByte('\n')
}

func (d *DataCentre) state() string {
	if d.InService {
		return wordIn
	}
	return wordOut
}

func (t *Team) digestText() string { return digestPrefix + hex.EncodeToString(t.KeyDigest[:]) }
