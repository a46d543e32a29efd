package sched

// hintFactor bounds how far a hint can move an estimate from the team's mean cost, up or down.
const hintFactor = 4

// latestWeight is the weight of the latest request in a team's moving averages.
const latestWeight = 0.125

// generationSize is the maximum number of teams in each generation of the cost history.
const generationSize = 32768

// costStats are moving averages of the cost of a team's requests.
type costStats struct {
	mean  float32 // cost units per request
	ratio float32 // actual cost divided by hint
}

// costHistory keeps the cost statistics of recently served idle teams. It holds two generations; a full
// one replaces the older one, which bounds its size.
type costHistory struct {
	recent map[string]costStats
	older  map[string]costStats
	all    costStats // over all teams
}

// estimate returns the cost to charge when a request with the given hint starts, in cost units, at least 1.
func (m *costHistory) estimate(h costStats, hint int64) int64 {
	if h.mean <= 0 {
		h = costStats{mean: m.all.mean, ratio: 1}
	}
	if h.mean <= 0 {
		return max(1, hint)
	}
	cost := h.mean
	if hint > 0 && h.ratio > 0 {
		cost = min(max(float32(hint)*h.ratio, h.mean/hintFactor), h.mean*hintFactor)
	}
	return max(1, int64(cost))
}

// store saves the cost statistics of a team that is dropped.
func (m *costHistory) store(team string, h costStats) {
	if h.mean <= 0 {
		return
	}
	if _, known := m.recent[team]; m.recent == nil || !known && len(m.recent) >= generationSize {
		m.older, m.recent = m.recent, map[string]costStats{}
	}
	m.recent[team] = h
}

// lookup returns the cost statistics of a team, or zero if it is not known.
func (m *costHistory) lookup(team string) costStats {
	if h, known := m.recent[team]; known {
		return h
	}
	return m.older[team]
}

// observe returns the statistics with one more completed request added.
func (h costStats) observe(hint, cost int64) costStats {
	h.mean = movingAverage(h.mean, float32(cost))
	if hint > 0 {
		h.ratio = movingAverage(h.ratio, float32(cost)/float32(hint))
	}
	return h
}

func movingAverage(old, latest float32) float32 {
	if old == 0 {
		return latest
	}
	return old + latestWeight*(latest-old)
}
