package sched

// estimates are bounded to this factor around what is usual, whatever the hint says.
const hintFactor = 4

// newWeight is the weight of the latest request in a team's averages.
const newWeight = 0.125

// memorySize is the number of teams in each generation of the memory.
const memorySize = 32768

// habit is what is learnt of the cost of a team's requests.
type habit struct {
	mean  float32 // cost units a request
	ratio float32 // cost over hint
}

// memory keeps the habits of idle teams that were served lately, in two generations.
type memory struct {
	recent map[string]habit
	older  map[string]habit
	all    habit // over all teams
}

// expect gives the cost to charge at the start for a request with the given hint.
func (m *memory) expect(h habit, hint int64) int64 {
	if h.mean <= 0 {
		h = habit{mean: m.all.mean, ratio: 1}
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

// keep remembers the habit of a team that goes.
func (m *memory) keep(team string, h habit) {
	if h.mean <= 0 {
		return
	}
	if _, known := m.recent[team]; m.recent == nil || !known && len(m.recent) >= memorySize {
		m.older, m.recent = m.recent, map[string]habit{}
	}
	m.recent[team] = h
}

// find gives what is remembered of a team, nothing if it is not known.
func (m *memory) find(team string) habit {
	if h, known := m.recent[team]; known {
		return h
	}
	return m.older[team]
}

func (h habit) with(hint, cost int64) habit {
	h.mean = average(h.mean, float32(cost))
	if hint > 0 {
		h.ratio = average(h.ratio, float32(cost)/float32(hint))
	}
	return h
}

func average(old, latest float32) float32 {
	if old == 0 {
		return latest
	}
	return old + newWeight*(latest-old)
}
