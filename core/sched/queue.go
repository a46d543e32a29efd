package sched

// node is an element of a queue. It is embedded in the type that is queued.
type node struct {
	key      float64
	order    uint64 // breaks ties
	position int    // 1-based position in its queue; 0 if it is in none
	team     *team
	entry    *entry
}

// queue is a binary heap of nodes, least key first.
type queue struct {
	nodes       []*node
	comparisons uint64 // total comparisons, a measure of the cost of a decision
}

func (q *queue) top() *node {
	if len(q.nodes) == 0 {
		return nil
	}
	return q.nodes[0]
}

func (q *queue) push(n *node) {
	q.nodes = append(q.nodes, n)
	n.position = len(q.nodes)
	q.up(n.position - 1)
}

func (q *queue) remove(n *node) {
	i, last := n.position-1, len(q.nodes)-1
	q.swap(i, last)
	q.nodes[last] = nil
	q.nodes = q.nodes[:last]
	n.position = 0
	if i < last {
		q.restore(i)
	}
}

// fix restores the heap order after the key of n changed.
func (q *queue) fix(n *node) { q.restore(n.position - 1) }

func (q *queue) restore(i int) {
	if !q.down(i) {
		q.up(i)
	}
}

func (q *queue) less(i, j int) bool {
	q.comparisons++
	a, b := q.nodes[i], q.nodes[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.order < b.order
}

func (q *queue) swap(i, j int) {
	q.nodes[i], q.nodes[j] = q.nodes[j], q.nodes[i]
	q.nodes[i].position, q.nodes[j].position = i+1, j+1
}

func (q *queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *queue) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(q.nodes) {
			break
		}
		if child+1 < len(q.nodes) && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			break
		}
		q.swap(i, child)
		i = child
	}
	return i > start
}
