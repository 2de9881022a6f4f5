package scheduler

import "time"

// maxMemory bounds the refusals that are remembered.
const maxMemory = 10_000

// refusalCache holds the refusals of the last second, so that they can be repeated.
type refusalCache struct {
	byID  map[ID]Refusal
	order []remembered
	head  int
}

type remembered struct {
	id    ID
	until time.Time
}

func (m *refusalCache) add(now time.Time, r Refusal) {
	m.forget(now)
	m.byID[r.ID] = r
	m.order = append(m.order, remembered{r.ID, now.Add(refusalMemory)})
}

func (m *refusalCache) find(now time.Time, id ID) (Refusal, bool) {
	m.forget(now)
	r, ok := m.byID[id]
	return r, ok
}

// forget removes refusals that are old or too many.
func (m *refusalCache) forget(now time.Time) {
	for m.head < len(m.order) && (now.After(m.order[m.head].until) || len(m.order)-m.head > maxMemory) {
		delete(m.byID, m.order[m.head].id)
		m.head++
	}
	if m.head > 64 && m.head*2 > len(m.order) {
		m.order = m.order[:copy(m.order, m.order[m.head:])]
		m.head = 0
	}
}

func (m *refusalCache) removeDaemon(name string) {
	for id := range m.byID {
		if id.Daemon == name {
			delete(m.byID, id)
		}
	}
}
