package rule

import "strings"

// Words of the grammar.
const (
	wordDataCentre = "dataCentre"
	wordProduct    = "product"
	wordServer     = "server"
	wordTeam       = "team"
	wordIn         = "in"
	wordOut        = "out"
	wordModel      = "model"
	wordPlain      = "plain"
	wordOnce       = "once"
	wordAddress    = "address"
	wordLimit      = "limit"
	wordFencing    = "fencing"
	wordShare      = "share"
	wordKey        = "key"
)

// Bounds of names and numbers.
const (
	MaxName  = 64        // bytes
	MaxShare = 1_000_000 // relative to the other teams' shares
	MaxLimit = 10_000    // concurrent requests
)

// word is a word of a line and its column, from 1.
type word struct {
	text   string
	column int
}

// split cuts a line into words and its comment; found is false without a '#'.
func split(line string, words []word) (_ []word, comment string, found bool) {
	body, comment, found := strings.Cut(line, "#")
	start := -1
	for i := 0; i <= len(body); i++ {
		blank := i == len(body) || body[i] == ' ' || body[i] == '\t' || body[i] == '\r'
		switch {
		case blank && start >= 0:
			words = append(words, word{text: body[start:i], column: start + 1})
			start = -1
		case !blank && start < 0:
			start = i
		}
	}
	return words, strings.TrimSpace(comment), found
}

// nearest gives the candidate most like the text, or "" if none is near.
func nearest(text string, candidates []string) string {
	best, distance := "", 3
	for _, c := range candidates {
		if d := edits(strings.ToLower(text), strings.ToLower(c)); d < distance && d < len(c) {
			best, distance = c, d
		}
	}
	return best
}

// edits is the Levenshtein distance; texts longer than a name count as far apart.
func edits(a, b string) int {
	if len(a) > MaxName || len(b) > MaxName {
		return MaxName
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// validName reports whether a text starts with a letter or digit and goes on with letters, digits, '.', '_' or '-'.
func validName(text string) bool {
	if text == "" || len(text) > MaxName {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}
