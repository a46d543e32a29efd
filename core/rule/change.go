package rule

import "fmt"

// phrase holds the words for one kind of change: its subject, and the changed part or what happened to the subject.
type phrase struct{ subject, detail string }

var phrases = map[What]phrase{
	WhatDataCentreAdded:         {"data centre", "added"},
	WhatDataCentreRemoved:       {"data centre", "removed"},
	WhatDataCentreTakenOut:      {"data centre", "taken out of service"},
	WhatDataCentreBroughtBack:   {"data centre", "brought back into service"},
	WhatProductAdded:            {"product", "added"},
	WhatProductRemoved:          {"product", "removed"},
	WhatProductKindChanged:      {"product", "kind"},
	WhatNonIdempotentChanged:    {"product", "non-idempotent calls"},
	WhatServerAdded:             {"backend server", "added"},
	WhatServerRemoved:           {"backend server", "removed"},
	WhatServerProductChanged:    {"backend server", "product"},
	WhatServerDataCentreChanged: {"backend server", "data centre"},
	WhatServerAddressChanged:    {"backend server", "address"},
	WhatServerLimitChanged:      {"backend server", "limit"},
	WhatServerFencingChanged:    {"backend server", "fencing"},
	WhatTeamAdded:               {"team", "added"},
	WhatTeamRemoved:             {"team", "removed"},
	WhatTeamShareChanged:        {"team", "share"},
	WhatTeamKeyChanged:          {"team", "key changed"},
	WhatCommentChanged:          {"rule of", "comment"},
}

// String returns the change as one line, followed by the comment that names who asked for it.
func (c Change) String() string {
	p := phrases[c.What]
	return fmt.Sprintf("%s %s%s  # %s", p.subject, c.Name, c.predicate(p.detail), c.Comment)
}

// predicate returns the words for what changed. It omits key digests, as they mean nothing to an operator.
func (c Change) predicate(part string) string {
	switch c.What {
	case WhatDataCentreAdded, WhatProductAdded, WhatServerAdded, WhatTeamAdded:
		return " " + part + ": " + c.New
	case WhatDataCentreRemoved, WhatProductRemoved, WhatServerRemoved, WhatTeamRemoved:
		return " " + part + ", was: " + c.Old
	case WhatDataCentreTakenOut, WhatDataCentreBroughtBack, WhatTeamKeyChanged:
		return " " + part
	default:
		return fmt.Sprintf(": %s %s -> %s", part, orNone(c.Old), orNone(c.New))
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
