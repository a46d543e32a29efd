package rule

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// reservedProduct is the first path segment of model calls, so it cannot be the name of a product.
const reservedProduct = "v1"

// digestPrefix precedes the hex digits of a key's digest.
const digestPrefix = "sha256:"

func (p *parser) readDataCentre() {
	name, ok := p.declare(&p.dataCentres, "the data centre's name")
	if !ok {
		return
	}
	state, ok := p.nextWord("in or out")
	if !ok {
		return
	}
	if state.text != wordIn && state.text != wordOut {
		p.failUnknown(state, wordIn, wordOut)
		return
	}
	p.file.DataCentres = append(p.file.DataCentres,
		DataCentre{Name: name, InService: state.text == wordIn, Comment: p.comment})
}

func (p *parser) readProduct() {
	name, ok := p.declare(&p.products, "the product's name")
	if !ok {
		return
	}
	if name == reservedProduct {
		p.addError(p.words[p.next-1].column, ReasonReservedName, name, "choose a name that is not "+reservedProduct)
	}
	kind, ok := p.nextWord("model or plain")
	if !ok {
		return
	}
	product := Product{Name: name, Kind: KindModel, Comment: p.comment}
	switch kind.text {
	case wordModel:
	case wordPlain:
		product.Kind = KindPlain
		product.NonIdempotent = p.readCalls()
	default:
		p.failUnknown(kind, wordModel, wordPlain)
		p.skipRest()
		return
	}
	p.file.Products = append(p.file.Products, product)
}

// readCalls parses the non-idempotent calls at the end of a product's line.
func (p *parser) readCalls() []Call {
	var calls []Call
	for p.next < len(p.words) {
		w, _ := p.nextWord(wordOnce)
		if w.text != wordOnce {
			p.failUnknown(w, wordOnce)
			p.skipRest()
			return calls
		}
		method, ok := p.nextWord("a method and a path prefix, such as POST /orders")
		if !ok {
			return calls
		}
		p.checkMethod(method)
		path, ok := p.nextWord("a path prefix, such as /orders")
		if !ok {
			return calls
		}
		p.checkPath(path)
		call := Call{Method: method.text, Path: path.text}
		for _, c := range calls {
			if c == call {
				p.addError(method.column, ReasonDuplicate, c.Method+" "+c.Path, "name each call once")
			}
		}
		calls = append(calls, call)
	}
	return calls
}

func (p *parser) checkMethod(w word) {
	switch w.text {
	case "GET", "POST", "PUT", "PATCH", "DELETE":
	default:
		p.addError(w.column, ReasonBadMethod, w.text, "write GET, POST, PUT, PATCH or DELETE")
	}
}

func (p *parser) checkPath(w word) {
	if !strings.HasPrefix(w.text, "/") || strings.ContainsAny(w.text, "?%\\") || strings.Contains(w.text, "//") {
		p.addError(w.column, ReasonBadPath, w.text, "write a path that starts with one / and has no ?, %, \\ or //")
	}
}

func (p *parser) readServer() {
	name, ok := p.declare(&p.servers, "the server's name")
	if !ok {
		return
	}
	s := Server{Name: name, Comment: p.comment}
	seen := map[string]bool{}
	for p.next < len(p.words) {
		w, _ := p.nextWord("")
		if seen[w.text] {
			p.addError(w.column, ReasonDuplicate, w.text, "give "+w.text+" once")
		}
		seen[w.text] = true
		if !p.readServerWord(&s, w) {
			p.skipRest()
			return
		}
	}
	for _, needed := range []string{wordProduct, wordDataCentre, wordAddress, wordLimit} {
		if !seen[needed] {
			p.addError(p.endColumn, ReasonMissingWord, "", "add "+needed+" and its value")
		}
	}
	p.file.Servers = append(p.file.Servers, s)
}

// readServerWord parses one attribute of a server's line, and its value unless the attribute is fencing.
func (p *parser) readServerWord(s *Server, w word) bool {
	if w.text == wordFencing {
		s.Fencing = true
		return true
	}
	switch w.text {
	case wordProduct, wordDataCentre, wordAddress, wordLimit:
	default:
		p.failUnknown(w, wordProduct, wordDataCentre, wordAddress, wordLimit, wordFencing)
		return false
	}
	value, ok := p.nextWord("the value of " + w.text)
	if !ok {
		return false
	}
	at := position{line: p.line, column: value.column}
	switch w.text {
	case wordProduct:
		s.Product = value.text
		p.productUses = append(p.productUses, reference{position: at, name: value.text})
	case wordDataCentre:
		s.DataCentre = value.text
		p.dataCentreUses = append(p.dataCentreUses, reference{position: at, name: value.text})
	case wordAddress:
		s.Address = p.readAddress(value)
	case wordLimit:
		s.Limit = p.readNumber(value, MaxLimit)
	}
	return true
}

func (p *parser) readTeam() {
	name, ok := p.declare(&p.teams, "the team's name")
	if !ok {
		return
	}
	t := Team{Name: name, Comment: p.comment}
	if !p.expect(wordShare) {
		return
	}
	share, ok := p.nextWord("the share, a number from 1")
	if !ok {
		return
	}
	t.Share = p.readNumber(share, MaxShare)
	if !p.expect(wordKey) {
		return
	}
	key, ok := p.nextWord("the key's digest, sha256: and 64 hex digits")
	if !ok {
		return
	}
	t.KeyDigest = p.readDigest(key)
	p.file.Teams = append(p.file.Teams, t)
}

// expect consumes the next word, which must be the given keyword.
func (p *parser) expect(text string) bool {
	w, ok := p.nextWord(text + " and its value")
	if ok && w.text != text {
		p.failUnknown(w, text)
		p.skipRest()
		return false
	}
	return ok
}

// declare parses the name of a data centre, product, server or team and records its position. A duplicate name adds an error.
func (p *parser) declare(names *map[string]position, missing string) (string, bool) {
	w, ok := p.nextWord(missing)
	if !ok {
		return "", false
	}
	if !validName(w.text) {
		p.addError(w.column, ReasonBadName, w.text,
			fmt.Sprintf("write at most %d letters, digits, '.', '_' or '-', a letter or digit first", MaxName))
	}
	if *names == nil {
		*names = map[string]position{}
	}
	if first, found := (*names)[w.text]; found {
		p.addError(w.column, ReasonDuplicate, w.text, fmt.Sprintf("remove this line or line %d", first.line))
		return w.text, true
	}
	(*names)[w.text] = position{line: p.line, column: w.column}
	return w.text, true
}

func (p *parser) readNumber(w word, limit int) int {
	n, err := strconv.Atoi(w.text)
	if err != nil || n < 1 || n > limit || strconv.Itoa(n) != w.text {
		p.addError(w.column, ReasonBadNumber, w.text, fmt.Sprintf("write a whole number from 1 to %d", limit))
		return 0
	}
	return n
}

func (p *parser) readAddress(w word) string {
	address, err := netip.ParseAddrPort(w.text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		p.addError(w.column, ReasonBadAddress, w.text, "write an IP number and a port, such as 127.0.0.1:9001")
		return ""
	}
	text := address.String()
	if first, found := p.addresses[text]; found {
		p.addError(w.column, ReasonDuplicate, w.text, fmt.Sprintf("line %d has this address; give each server its own", first.line))
	}
	if p.addresses == nil {
		p.addresses = map[string]position{}
	}
	p.addresses[text] = position{line: p.line, column: w.column}
	return text
}

func (p *parser) readDigest(w word) (digest [32]byte) {
	digits, found := strings.CutPrefix(w.text, digestPrefix)
	raw, err := hex.DecodeString(digits)
	if !found || err != nil || len(raw) != len(digest) {
		p.addError(w.column, ReasonBadDigest, "", "write sha256: and the 64 hex digits of the key's SHA-256, never the key itself")
		return digest
	}
	copy(digest[:], raw)
	if first, found := p.digests[digest]; found {
		p.addError(w.column, ReasonDuplicate, w.text, fmt.Sprintf("line %d has this key; give each team its own", first.line))
	}
	if p.digests == nil {
		p.digests = map[[32]byte]position{}
	}
	p.digests[digest] = position{line: p.line, column: w.column}
	return digest
}
