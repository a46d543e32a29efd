package rule

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDiff(t *testing.T) {
	old := `dataCentre clew in # Orla
dataCentre bertra out # Orla
dataCentre killary in # Orla
product pool model # Orla
product log plain once POST /landings # Orla
server p-1 product pool dataCentre clew address 127.0.0.1:1 limit 8 # Orla
server p-2 product pool dataCentre clew address 127.0.0.1:2 limit 8 # Orla
team farm share 3 key ` + digestA + " # Orla\n"
	tests := map[string]struct {
		now  string
		want []Change
	}{
		"the same in another order": {now: `team farm share 3 key ` + digestA + ` # Orla
product log plain once POST /landings # Orla
product pool model # Orla
dataCentre killary in # Orla
dataCentre bertra out # Orla
dataCentre clew in # Orla
server p-2 product pool dataCentre clew address 127.0.0.1:2 limit 8 # Orla
server p-1 product pool dataCentre clew address 127.0.0.1:1 limit 8 # Orla
`},
		"everything": {
			now: `dataCentre clew out # Maeve
dataCentre bertra in # Maeve
dataCentre killary in # Maeve
product pool model # Orla
product log plain once POST /landings once POST /weights # Maeve
server p-1 product log dataCentre bertra address 127.0.0.1:3 limit 9 fencing # Maeve
server p-3 product pool dataCentre clew address 127.0.0.1:2 limit 8 # Maeve
team farm share 4 key sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb # Maeve
team boats share 1 key ` + digestA + " # Maeve\n",
			want: []Change{
				{WhatDataCentreBroughtBack, "bertra", "out", "in", "Maeve"},
				{WhatDataCentreTakenOut, "clew", "in", "out", "Maeve"},
				{WhatCommentChanged, "killary", "Orla", "Maeve", "Maeve"},
				{WhatNonIdempotentChanged, "log", "POST /landings", "POST /landings, POST /weights", "Maeve"},
				{WhatServerProductChanged, "p-1", "pool", "log", "Maeve"},
				{WhatServerDataCentreChanged, "p-1", "clew", "bertra", "Maeve"},
				{WhatServerAddressChanged, "p-1", "127.0.0.1:1", "127.0.0.1:3", "Maeve"},
				{WhatServerLimitChanged, "p-1", "8", "9", "Maeve"},
				{WhatServerFencingChanged, "p-1", "ignores fencing", "checks fencing", "Maeve"},
				{WhatServerRemoved, "p-2", "pool in clew at 127.0.0.1:2, limit 8", "", "Orla"},
				{WhatServerAdded, "p-3", "", "pool in clew at 127.0.0.1:2, limit 8", "Maeve"},
				{WhatTeamAdded, "boats", "", "share 1", "Maeve"},
				{WhatTeamShareChanged, "farm", "3", "4", "Maeve"},
				{WhatTeamKeyChanged, "farm", digestA, "sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", "Maeve"},
			},
		},
	}
	before := mustParse(t, old)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, Diff(before, mustParse(t, tt.now))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestChangeString(t *testing.T) {
	tests := map[string]Change{
		"data centre lahore taken out of service  # Asma":                   {WhatDataCentreTakenOut, "lahore", "in", "out", "Asma"},
		"team farm: share 3 -> 4  # Maeve":                                  {WhatTeamShareChanged, "farm", "3", "4", "Maeve"},
		"team farm key changed  # Maeve":                                    {WhatTeamKeyChanged, "farm", digestA, "sha256:bb", "Maeve"},
		"team boats added: share 1  # Maeve":                                {WhatTeamAdded, "boats", "", "share 1", "Maeve"},
		"backend server p-1 removed, was: pool in clew  # Orla":             {WhatServerRemoved, "p-1", "pool in clew", "", "Orla"},
		"product log: non-idempotent calls none -> POST /landings  # Maeve": {WhatNonIdempotentChanged, "log", "", "POST /landings", "Maeve"},
	}
	for want, c := range tests {
		t.Run(want, func(t *testing.T) {
			if diff := cmp.Diff(want, c.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
	for w := WhatDataCentreAdded; w <= WhatCommentChanged; w++ {
		if phrases[w].subject == "" {
			t.Errorf("%v has no phrase", w)
		}
	}
}

func TestDiffFromNothing(t *testing.T) {
	want := []Change{{WhatDataCentreAdded, "clew", "", "in", "Orla"}}
	if diff := cmp.Diff(want, Diff(nil, mustParse(t, "dataCentre clew in # Orla"))); diff != "" {
		t.Error(diff)
	}
}

func mustParse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}
