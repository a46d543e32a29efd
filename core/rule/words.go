package rule

import "strings"

// Keywords of the grammar.
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

// Upper limits of names and numbers.
const (
	MaxName  = 64        // bytes
	MaxShare = 1_000_000 // relative to the other teams' shares
	MaxLimit = 10_000    // concurrent requests
)

// word is a word of a line and its column in bytes, counted from 1.
type word struct {
	text   string
	column int
}

// split splits a line into words and its comment. It appends to words, and found is false if the line has no '#'.
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

// nearest returns the candidate with the smallest edit distance from the text, or "" if none is within distance 2.
func nearest(text string, candidates []string) string {
	best, bestDistance := "", 3
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(text), strings.ToLower(c)); d < bestDistance && d < len(c) {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance. It returns MaxName if a text is longer than a name may be.
func editDistance(a, b string) int {
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

// validName reports whether a text has at most MaxName bytes, starts with a letter or digit and has only letters, digits, '.', '_' or
// '-' after that.
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
