package relay

import (
	"time"

	"mangolug.org/core/pool"
)

// LogShort logs this router's estimates for the plain services that are short of capacity.
func (s *Relay) LogShort() {
	if s.Log == nil {
		return
	}
	var short []pool.PlainService
	s.Gate.With(func(now time.Duration, p *pool.Pool) { short = p.ShortServices(now) })
	for _, v := range short {
		s.Log.Info("short of capacity", "service", v.Name, "firstTries", v.First, "returns", v.Returning, "answered", v.Ended, "capacity", v.Capacity, "work", v.Time)
	}
}
