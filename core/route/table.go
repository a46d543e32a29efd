package route

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Table is an immutable configuration with indexes for look-ups.
type Table struct {
	Config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	teams    map[string]*Team // by key

	minObjectives map[string]time.Duration // shortest objective, by service
}

// NewTable returns a Table that indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, hosts: make(map[string][]*Route),
		services: make(map[string]*Service), teams: make(map[string]*Team),
		minObjectives: make(map[string]time.Duration),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, share := range r.Split {
			if o, ok := t.minObjectives[share.Service]; !ok || r.Objective < o {
				t.minObjectives[share.Service] = r.Objective
			}
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	return t
}

// Match returns the host's route with the longest prefix of the path, or nil if no route matches.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes := t.hosts[host]
	if routes == nil {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds an API key, or nil if there is none.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Service returns the service with a name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService returns the service for a request of the route, or "" if the split is empty. Equal subjects map to the same service,
// so that a split does not scatter what servers have cached for them.
func (r *Route) PickService(subject string) string {
	totalWeight := 0
	for _, s := range r.Split {
		totalWeight += max(0, s.Weight)
	}
	if totalWeight == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Name)) // hash.Hash.Write never returns an error
	_, _ = h.Write([]byte(subject))
	point := int(Mix(h.Sum64()) % uint64(totalWeight))
	for _, s := range r.Split {
		if point -= max(0, s.Weight); point < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Mix returns h with its bits mixed by the MurmurHash3 finaliser, since FNV hashes of short strings differ in few bits.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Objective returns the shortest latency objective of all routes to a service, or 0 if there is none.
func (t *Table) Objective(service string) time.Duration { return t.minObjectives[service] }
