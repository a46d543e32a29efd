package route

import (
	"fmt"
	"testing"
	"time"
)

func TestMatch(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := map[string]struct{ host, path, want string }{
		"prefix":                 {host: "a.example", path: "/x/1", want: "short"},
		"longest prefix":         {host: "a.example", path: "/x/y/1", want: "long"},
		"the prefix itself":      {host: "a.example", path: "/x/", want: "short"},
		"no slash at the end":    {host: "a.example", path: "/x"},
		"part of a name":         {host: "a.example", path: "/xy/"},
		"other host":             {host: "b.example", path: "/x/y/1", want: "other"},
		"host in capitals":       {host: "A.Example", path: "/x/1", want: "short"},
		"host with a port":       {host: "a.example:80", path: "/x/1", want: "short"},
		"unknown host":           {host: "c.example", path: "/x/1"},
		"path that is not clean": {host: "a.example", path: "/x/../x/y/1", want: "short"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("route %q, want %q", got, c.want)
			}
		})
	}
}

func TestSplitKeepsSubjectsAndWeights(t *testing.T) {
	r := Route{Name: "r", Split: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		subject := fmt.Sprint(i)
		service := r.PickService(subject)
		if again := r.PickService(subject); again != service {
			t.Fatalf("subject %s went to %s and %s", subject, service, again)
		}
		counts[service]++
	}
	if counts["c"] != 0 || counts["b"] < 850 || counts["b"] > 1150 {
		t.Errorf("split into %v", counts)
	}
}

func TestLookUps(t *testing.T) {
	table := NewTable(Config{
		Routes: []Route{
			{Name: "slow", Host: "h", Prefix: "/a/", Objective: 3 * time.Second, Split: []WeightedService{{"s", 1}}},
			{Name: "fast", Host: "h", Prefix: "/b/", Objective: time.Second, Split: []WeightedService{{"s", 1}}},
		},
		Services: []Service{{Name: "s", Slots: 3}},
		Teams:    []Team{{Name: "t", Keys: []string{"k1", "k2"}}},
	})
	if got := table.Objective("s"); got != time.Second {
		t.Errorf("objective %v, want that of the fast route", got)
	}
	if got := table.Team("k2"); got == nil || got.Name != "t" {
		t.Errorf("team of k2: %v", got)
	}
	if got := table.Team(""); got != nil {
		t.Errorf("team of no key: %v", got)
	}
	if got := table.Service("s"); got == nil || got.Slots != 3 {
		t.Errorf("service: %v", got)
	}
	if table.Service("x") != nil || table.Objective("x") != 0 {
		t.Error("something is known of a service that is not there")
	}
}
