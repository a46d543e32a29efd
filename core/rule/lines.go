package rule

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// reserved is the first part of the path of model calls, so no product may have it as its name.
const reserved = "v1"

// digestPrefix comes before the hex digits of a key's digest.
const digestPrefix = "sha256:"

func (p *parser) readDataCentre() {
	name, ok := p.declare(&p.dataCentres, "the data centre's name")
	if !ok {
		return
	}
	state, ok := p.take("in or out")
	if !ok {
		return
	}
	if state.text != wordIn && state.text != wordOut {
		p.unknown(state, wordIn, wordOut)
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
	if name == reserved {
		p.fail(p.words[p.next-1].column, ReasonReservedName, name, "choose a name that is not "+reserved)
	}
	kind, ok := p.take("model or plain")
	if !ok {
		return
	}
	product := Product{Name: name, Kind: KindModel, Comment: p.comment}
	switch kind.text {
	case wordModel:
	case wordPlain:
		product.Kind = KindPlain
		product.Once = p.readCalls()
	default:
		p.unknown(kind, wordModel, wordPlain)
		p.skip()
		return
	}
	p.file.Products = append(p.file.Products, product)
}

// readCalls reads the non-idempotent calls at the end of a product's line.
func (p *parser) readCalls() []Call {
	var calls []Call
	for p.next < len(p.words) {
		w, _ := p.take(wordOnce)
		if w.text != wordOnce {
			p.unknown(w, wordOnce)
			p.skip()
			return calls
		}
		method, ok := p.take("a method and a path prefix, such as POST /orders")
		if !ok {
			return calls
		}
		p.checkMethod(method)
		path, ok := p.take("a path prefix, such as /orders")
		if !ok {
			return calls
		}
		p.checkPath(path)
		call := Call{Method: method.text, Path: path.text}
		for _, c := range calls {
			if c == call {
				p.fail(method.column, ReasonDuplicate, c.Method+" "+c.Path, "name each call once")
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
		p.fail(w.column, ReasonBadMethod, w.text, "write GET, POST, PUT, PATCH or DELETE")
	}
}

func (p *parser) checkPath(w word) {
	if !strings.HasPrefix(w.text, "/") || strings.ContainsAny(w.text, "?%\\") || strings.Contains(w.text, "//") {
		p.fail(w.column, ReasonBadPath, w.text, "write a path that starts with one / and has no ?, %, \\ or //")
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
		w, _ := p.take("")
		if seen[w.text] {
			p.fail(w.column, ReasonDuplicate, w.text, "give "+w.text+" once")
		}
		seen[w.text] = true
		if !p.readServerWord(&s, w) {
			p.skip()
			return
		}
	}
	for _, needed := range []string{wordProduct, wordDataCentre, wordAddress, wordLimit} {
		if !seen[needed] {
			p.fail(p.end, ReasonMissingWord, "", "add "+needed+" and its value")
		}
	}
	p.file.Servers = append(p.file.Servers, s)
}

// readServerWord reads one word of a server's line and its value.
func (p *parser) readServerWord(s *Server, w word) bool {
	if w.text == wordFencing {
		s.Fencing = true
		return true
	}
	switch w.text {
	case wordProduct, wordDataCentre, wordAddress, wordLimit:
	default:
		p.unknown(w, wordProduct, wordDataCentre, wordAddress, wordLimit, wordFencing)
		return false
	}
	value, ok := p.take("the value of " + w.text)
	if !ok {
		return false
	}
	at := place{line: p.line, column: value.column}
	switch w.text {
	case wordProduct:
		s.Product = value.text
		p.productUses = append(p.productUses, reference{place: at, name: value.text})
	case wordDataCentre:
		s.DataCentre = value.text
		p.dataCentreUses = append(p.dataCentreUses, reference{place: at, name: value.text})
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
	share, ok := p.take("the share, a number from 1")
	if !ok {
		return
	}
	t.Share = p.readNumber(share, MaxShare)
	if !p.expect(wordKey) {
		return
	}
	key, ok := p.take("the key's digest, sha256: and 64 hex digits")
	if !ok {
		return
	}
	t.KeyDigest = p.readDigest(key)
	p.file.Teams = append(p.file.Teams, t)
}

// expect reads a fixed word.
func (p *parser) expect(text string) bool {
	w, ok := p.take(text + " and its value")
	if ok && w.text != text {
		p.unknown(w, text)
		p.skip()
		return false
	}
	return ok
}

// declare reads the name of a new data centre, product, server or team.
func (p *parser) declare(names *map[string]place, missing string) (string, bool) {
	w, ok := p.take(missing)
	if !ok {
		return "", false
	}
	if !validName(w.text) {
		p.fail(w.column, ReasonBadName, w.text,
			fmt.Sprintf("write at most %d letters, digits, '.', '_' or '-', a letter or digit first", MaxName))
	}
	if *names == nil {
		*names = map[string]place{}
	}
	if first, found := (*names)[w.text]; found {
		p.fail(w.column, ReasonDuplicate, w.text, fmt.Sprintf("remove this line or line %d", first.line))
		return w.text, true
	}
	(*names)[w.text] = place{line: p.line, column: w.column}
	return w.text, true
}

func (p *parser) readNumber(w word, limit int) int {
	n, err := strconv.Atoi(w.text)
	if err != nil || n < 1 || n > limit || strconv.Itoa(n) != w.text {
		p.fail(w.column, ReasonBadNumber, w.text, fmt.Sprintf("write a whole number from 1 to %d", limit))
		return 0
	}
	return n
}

func (p *parser) readAddress(w word) string {
	address, err := netip.ParseAddrPort(w.text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		p.fail(w.column, ReasonBadAddress, w.text, "write an IP number and a port, such as 127.0.0.1:9001")
		return ""
	}
	text := address.String()
	if first, found := p.addresses[text]; found {
		p.fail(w.column, ReasonDuplicate, w.text, fmt.Sprintf("line %d has this address; give each server its own", first.line))
	}
	if p.addresses == nil {
		p.addresses = map[string]place{}
	}
	p.addresses[text] = place{line: p.line, column: w.column}
	return text
}

func (p *parser) readDigest(w word) (digest [32]byte) {
	digits, found := strings.CutPrefix(w.text, digestPrefix)
	raw, err := hex.DecodeString(digits)
	if !found || err != nil || len(raw) != len(digest) {
		p.fail(w.column, ReasonBadDigest, "", "write sha256: and the 64 hex digits of the key's SHA-256, never the key itself")
		return digest
	}
	copy(digest[:], raw)
	if first, found := p.digests[digest]; found {
		p.fail(w.column, ReasonDuplicate, w.text, fmt.Sprintf("line %d has this key; give each team its own", first.line))
	}
	if p.digests == nil {
		p.digests = map[[32]byte]place{}
	}
	p.digests[digest] = place{line: p.line, column: w.column}
	return digest
}
