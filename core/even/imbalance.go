package even

const (
	// overloadFactor is the load of an overloaded server, as a multiple of the mean.
	overloadFactor = 2
	// maxPercent bounds Percent, as sums of other routers may hold any number.
	maxPercent = 10000
)

// Load is the number of requests at a server.
type Load struct {
	Server   string
	Requests int64
	Slots    int
}

// Imbalance is how unevenly the requests of a service are distributed.
type Imbalance struct {
	Busiest  Load
	Mean     float64 // requests per server
	Percent  int64   // load of the busiest server as a percentage of the mean; 0 if there are no requests
	Idle     int     // servers with less than half of their slots taken
	Overload bool    // the busiest server has all slots taken and over twice the mean, while another one is idle
}

// Measure returns the imbalance of the servers of a service.
func Measure(loads []Load) Imbalance {
	var m Imbalance
	total := 0.0
	for i, l := range loads {
		total += float64(max(0, l.Requests))
		if i == 0 || l.Requests > m.Busiest.Requests {
			m.Busiest = l
		}
		if 2*max(0, l.Requests) < int64(l.Slots) {
			m.Idle++
		}
	}
	if total <= 0 {
		return m
	}
	m.Mean = total / float64(len(loads))
	ratio := float64(m.Busiest.Requests) / m.Mean
	m.Percent = int64(min(100*ratio, maxPercent))
	m.Overload = ratio > overloadFactor && m.Idle > 0 && m.Busiest.Requests >= int64(m.Busiest.Slots)
	return m
}
