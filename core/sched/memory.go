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

// memory keeps the habits of teams that were served lately, in two generations.
type memory struct {
	recent map[string]habit
	older  map[string]habit
	all    habit // over all teams
}

// expect gives the cost to charge at the start for a request with the given hint.
func (m *memory) expect(team string, hint int64) int64 {
	h, known := m.find(team)
	if !known {
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

// learn takes in the true cost of a finished request.
func (m *memory) learn(team string, hint, cost int64) {
	m.all = m.all.with(hint, cost)
	h, _ := m.find(team)
	if m.recent == nil {
		m.recent = map[string]habit{}
	}
	if _, known := m.recent[team]; !known && len(m.recent) >= memorySize {
		m.older, m.recent = m.recent, map[string]habit{}
	}
	m.recent[team] = h.with(hint, cost)
}

func (m *memory) find(team string) (habit, bool) {
	if h, known := m.recent[team]; known {
		return h, true
	}
	h, known := m.older[team]
	return h, known
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
