package share

import (
	"fmt"
	"math"

	"mangolug.org/core/digest"
)

// limitUnit is the number of units on the wire in one request per second.
const limitUnit = 1000

func encodeLimits(list []digest.RateLimit) *Limits {
	if len(list) == 0 {
		return nil
	}
	w := &Limits{}
	for _, l := range list {
		w.Servers = append(w.Servers, l.Server)
		w.Rates = append(w.Rates, uint32(min(math.Round(l.Rate*limitUnit), math.MaxUint32)))
		w.Ages = append(w.Ages, toMillis(l.Age))
	}
	return w
}

func decodeLimits(w *Limits) ([]digest.RateLimit, error) {
	if w == nil {
		return nil, nil
	}
	if len(w.Rates) != len(w.Servers) || len(w.Ages) != len(w.Servers) {
		return nil, fmt.Errorf("rate limits: %d servers, %d rates, %d ages", len(w.Servers), len(w.Rates), len(w.Ages))
	}
	var list []digest.RateLimit
	for i, server := range w.Servers {
		list = append(list, digest.RateLimit{Server: server, Rate: float64(w.Rates[i]) / limitUnit, Age: fromMillis(w.Ages[i])})
	}
	return list, nil
}
