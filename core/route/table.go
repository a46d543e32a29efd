package route

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Table is a configuration that is indexed for look-ups; it is never changed.
type Table struct {
	Config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	teams    map[string]*Team // by key

	objectives map[string]time.Duration // by service
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, hosts: make(map[string][]*Route),
		services: make(map[string]*Service), teams: make(map[string]*Team),
		objectives: make(map[string]time.Duration),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, share := range r.Split {
			if o, ok := t.objectives[share.Service]; !ok || r.Objective < o {
				t.objectives[share.Service] = r.Objective
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

// Match gives the route of the host with the longest prefix of the path, and nil if there is none.
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

// Team gives the team that holds a key, and nil if none does.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Service gives a service by its name, and nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Serve gives the service for a request of the route; equal subjects get equal services, so that a split keeps what
// servers have cached for them.
func (r *Route) Serve(subject string) string {
	total := 0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Name)) // a hash never fails
	_, _ = h.Write([]byte(subject))
	at := int(Mix(h.Sum64()) % uint64(total))
	for _, s := range r.Split {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Mix spreads a hash over all its bits, as FNV leaves those of short texts alike (the finaliser of MurmurHash3).
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Objective gives the shortest objective of all routes that lead to a service; 0 if none does.
func (t *Table) Objective(service string) time.Duration { return t.objectives[service] }
