package rule

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const digestA = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

func TestParse(t *testing.T) {
	text := `# who may do what

dataCentre lahore in  # Asma, capacity meeting
dataCentre multan out # # Bilal
product stain-llm model # Asma
product swatch-desk plain once POST /dispatches once PUT /orders # Asma
server stain-1 product stain-llm dataCentre lahore address 127.0.0.1:9001 limit 8 fencing # Asma
server desk-1 limit 4 address [::1]:9002 dataCentre multan product swatch-desk # Asma
team carpenters share 40 key ` + digestA + " # Asma\r\n"
	var key [32]byte
	for i := range key {
		key[i] = 0xaa
	}
	want := &File{
		DataCentres: []DataCentre{
			{Name: "lahore", InService: true, Comment: "Asma, capacity meeting"}, {Name: "multan", Comment: "# Bilal"},
		},
		Products: []Product{
			{Name: "stain-llm", Kind: KindModel, Comment: "Asma"},
			{Name: "swatch-desk", Kind: KindPlain, NonIdempotent: []Call{{"POST", "/dispatches"}, {"PUT", "/orders"}}, Comment: "Asma"},
		},
		Servers: []Server{
			{Name: "stain-1", Product: "stain-llm", DataCentre: "lahore", Address: "127.0.0.1:9001", Limit: 8, Fencing: true, Comment: "Asma"},
			{Name: "desk-1", Product: "swatch-desk", DataCentre: "multan", Address: "[::1]:9002", Limit: 4, Comment: "Asma"},
		},
		Teams: []Team{{Name: "carpenters", Share: 40, KeyDigest: key, Comment: "Asma"}},
	}
	got, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	reparsed, err := Parse([]byte(got.String()))
	if err != nil {
		t.Fatalf("canonical text rejected: %v", err)
	}
	if diff := cmp.Diff(want, reparsed); diff != "" {
		t.Error(diff)
	}
}

func TestParseErrors(t *testing.T) {
	type fault struct {
		Line, Column int
		Reason       Reason
	}
	const c = "dataCentre clew in # a\n"
	const p = "product pool model # a\n"
	tests := map[string]struct {
		text    string
		want    []fault
		instead string // part of the first fault's Instead
	}{
		"empty":                {"", []fault{{1, 1, ReasonEmptyFile}}, "at least one rule"},
		"comments only":        {"# nothing\n", []fault{{1, 1, ReasonEmptyFile}}, ""},
		"unknown rule":         {"datacenter clew in # a", []fault{{1, 1, ReasonUnknownWord}}, "write dataCentre"},
		"unknown rule, far":    {"budget clew in # a", []fault{{1, 1, ReasonUnknownWord}}, "dataCentre or product or server or team"},
		"unknown state":        {"dataCentre clew on # a", []fault{{1, 17, ReasonUnknownWord}}, "write in"},
		"missing state":        {"dataCentre clew # a", []fault{{1, 16, ReasonMissingWord}}, "in or out"},
		"extra word":           {"dataCentre clew in today # a", []fault{{1, 20, ReasonExtraWord}}, ""},
		"missing comment":      {"dataCentre clew in", []fault{{1, 19, ReasonMissingComment}}, "who asked"},
		"empty comment":        {"dataCentre clew in # ", []fault{{1, 19, ReasonMissingComment}}, "who asked"},
		"bad name":             {"dataCentre clew/1 in # a", []fault{{1, 12, ReasonBadName}}, "letters"},
		"duplicate":            {c + c, []fault{{2, 12, ReasonDuplicate}}, "line 1"},
		"reserved":             {"product v1 model # a", []fault{{1, 9, ReasonReservedName}}, "v1"},
		"unknown kind":         {"product pool modle # a", []fault{{1, 14, ReasonUnknownWord}}, "write model"},
		"once on a model":      {"product pool model once POST /x # a", []fault{{1, 20, ReasonExtraWord}}, ""},
		"bad method":           {"product log plain once post /x # a", []fault{{1, 24, ReasonBadMethod}}, "POST"},
		"bad path":             {"product log plain once POST x # a", []fault{{1, 29, ReasonBadPath}}, "starts with"},
		"missing path":         {"product log plain once POST # a", []fault{{1, 28, ReasonMissingWord}}, "path"},
		"same call twice":      {"product log plain once POST /x once POST /x # a", []fault{{1, 37, ReasonDuplicate}}, ""},
		"unknown after calls":  {"product log plain onse POST /x # a", []fault{{1, 19, ReasonUnknownWord}}, "write once"},
		"dangling both":        {"server s product pool dataCentre clew address 127.0.0.1:1 limit 1 # a", []fault{{1, 18, ReasonDangling}, {1, 34, ReasonDangling}}, "product pool"},
		"dangling, near":       {c + p + "server s product pool dataCentre clwe address 127.0.0.1:1 limit 1 # a", []fault{{3, 34, ReasonDangling}}, "write clew"},
		"server without parts": {c + p + "server s product pool dataCentre clew # a", []fault{{3, 38, ReasonMissingWord}, {3, 38, ReasonMissingWord}}, "address"},
		"attribute twice":      {c + p + "server s product pool dataCentre clew address 127.0.0.1:1 limit 1 limit 1 # a", []fault{{3, 67, ReasonDuplicate}}, "limit once"},
		"attribute without value": {
			c + p + "server s product pool dataCentre clew address 127.0.0.1:1 limit # a", []fault{{3, 64, ReasonMissingWord}}, "limit",
		},
		"unknown attribute": {
			c + p + "server s product pool dataCenter clew # a", []fault{{3, 23, ReasonUnknownWord}}, "write dataCentre",
		},
		"bad address":       {c + p + "server s product pool dataCentre clew address localhost:1 limit 1 # a", []fault{{3, 47, ReasonBadAddress}}, "IP number"},
		"port 0":            {c + p + "server s product pool dataCentre clew address 127.0.0.1:0 limit 1 # a", []fault{{3, 47, ReasonBadAddress}}, ""},
		"limit 0":           {c + p + "server s product pool dataCentre clew address 127.0.0.1:1 limit 0 # a", []fault{{3, 65, ReasonBadNumber}}, "1 to 10000"},
		"limit with sign":   {c + p + "server s product pool dataCentre clew address 127.0.0.1:1 limit +1 # a", []fault{{3, 65, ReasonBadNumber}}, ""},
		"same address":      {c + p + "server s product pool dataCentre clew address 127.0.0.1:1 limit 1 # a\nserver t product pool dataCentre clew address 127.0.0.1:1 limit 1 # a", []fault{{4, 47, ReasonDuplicate}}, "line 3"},
		"share too large":   {"team a share 1000001 key " + digestA + " # a", []fault{{1, 14, ReasonBadNumber}}, ""},
		"share overflows":   {"team a share 99999999999999999999 key " + digestA + " # a", []fault{{1, 14, ReasonBadNumber}}, ""},
		"key in the plain":  {"team a share 1 key secret # a", []fault{{1, 20, ReasonBadDigest}}, "never the key"},
		"short digest":      {"team a share 1 key sha256:aa # a", []fault{{1, 20, ReasonBadDigest}}, ""},
		"same key":          {"team a share 1 key " + digestA + " # a\nteam b share 1 key " + digestA + " # a", []fault{{2, 20, ReasonDuplicate}}, "line 1"},
		"no share":          {"team a key " + digestA + " # a", []fault{{1, 8, ReasonUnknownWord}}, "write share"},
		"control character": {"dataCentre clew\x00 in # a", []fault{{1, 16, ReasonBadText}}, "plain UTF-8"},
		"not UTF-8":         {"dataCentre clew in # \xff", []fault{{1, 22, ReasonBadText}}, ""},
		"all at once": {
			"dataCentre clew on # a\nteam a share 0 key x\n", []fault{{1, 17, ReasonUnknownWord}, {2, 14, ReasonBadNumber}, {2, 20, ReasonBadDigest}, {2, 21, ReasonMissingComment}}, "",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			file, err := Parse([]byte(tt.text))
			var faults *Errors
			if file != nil || !errors.As(err, &faults) {
				t.Fatalf("file %v, error %v", file, err)
			}
			var got []fault
			for _, e := range faults.List {
				got = append(got, fault{e.Line, e.Column, e.Reason})
				if e.Instead == "" || strings.Contains(e.Error(), "secret") {
					t.Errorf("error text: %v", e.Error())
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}
			if !strings.Contains(faults.List[0].Instead, tt.instead) {
				t.Errorf("instead: %q", faults.List[0].Instead)
			}
		})
	}
}

// manyTeams returns a rule file with the given number of teams.
func manyTeams(count int) []byte {
	var b strings.Builder
	b.WriteString("dataCentre clew in # a\nproduct pool model # a\n")
	for i := range count {
		fmt.Fprintf(&b, "team team-%d share %d key sha256:%064x # asked by the pool's office\n", i, 1+i%50, i)
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	for _, count := range []int{15, 1000, 10000, 49000} {
		text := manyTeams(count)
		b.Run(fmt.Sprintf("teams=%d", count), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
