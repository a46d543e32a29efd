package sched

// node is an element of a queue, embedded in what waits there.
type node struct {
	key   float64
	order uint64 // breaks ties
	place int    // 1-based place in its queue; 0 when it is in none
	team  *team
	entry *entry
}

// queue is a binary heap of nodes, least key first.
type queue struct {
	nodes    []*node
	compared uint64 // comparisons made, the measure of a decision's cost
}

func (q *queue) top() *node {
	if len(q.nodes) == 0 {
		return nil
	}
	return q.nodes[0]
}

func (q *queue) push(n *node) {
	q.nodes = append(q.nodes, n)
	n.place = len(q.nodes)
	q.up(n.place - 1)
}

func (q *queue) remove(n *node) {
	i, last := n.place-1, len(q.nodes)-1
	q.swap(i, last)
	q.nodes[last] = nil
	q.nodes = q.nodes[:last]
	n.place = 0
	if i < last {
		q.restore(i)
	}
}

// fix restores the order after the node's key changed.
func (q *queue) fix(n *node) { q.restore(n.place - 1) }

func (q *queue) restore(i int) {
	if !q.down(i) {
		q.up(i)
	}
}

func (q *queue) less(i, j int) bool {
	q.compared++
	a, b := q.nodes[i], q.nodes[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.order < b.order
}

func (q *queue) swap(i, j int) {
	q.nodes[i], q.nodes[j] = q.nodes[j], q.nodes[i]
	q.nodes[i].place, q.nodes[j].place = i+1, j+1
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
	began := i
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
	return i > began
}
