package lead

// candidateMemory holds the candidates of the last two plans. The next plan overwrites the older ones; those of the last
// plan are described between plans. It spares a backlog of thousands of steps the collection of as many candidates at each
// plan. Its zero value is empty.
type candidateMemory struct {
	// plan holds the candidates of the plan that has begun last, the first of which it uses, and earlier those of the one
	// before.
	plan, earlier []*candidate
	used          int
}

// begin begins a plan.
func (m *candidateMemory) begin() {
	clear(m.plan[m.used:]) // They hold jobs of a backlog that has shrunk since.
	m.plan, m.earlier = m.earlier, m.plan[:m.used]
	m.used = 0
}

// next returns memory for a candidate.
func (m *candidateMemory) next() *candidate {
	if m.used == len(m.plan) {
		m.plan = append(m.plan, &candidate{})
	}

	m.used++

	return m.plan[m.used-1]
}
