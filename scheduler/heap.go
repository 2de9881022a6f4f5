package scheduler

// element is kept in a heap and knows its index there, so that it can be moved and removed.
type element[T any] interface {
	// before reports whether the element precedes the other.
	before(other T) bool
	// position returns where the element stores its index plus one; zero means absent.
	position() *int
}

// heap is a binary heap whose elements can be moved and removed.
type heap[T element[T]] struct{ items []T }

func (h *heap[T]) len() int { return len(h.items) }

// top returns the first element. The heap must not be empty.
func (h *heap[T]) top() T { return h.items[0] }

// update inserts the element, or moves it after a change of its key.
func (h *heap[T]) update(x T) {
	if *x.position() == 0 {
		h.items = append(h.items, x)
		*x.position() = len(h.items)
	}
	i := *x.position() - 1
	if !h.up(i) {
		h.down(i)
	}
}

// remove removes the element if it is in the heap.
func (h *heap[T]) remove(x T) {
	i := *x.position() - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*x.position() = 0
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].position() = i + 1
	*h.items[j].position() = j + 1
}

// up moves an element towards the top and reports whether it moved.
func (h *heap[T]) up(i int) bool {
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].before(h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i != start
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.items[child+1].before(h.items[child]) {
			child++
		}
		if !h.items[child].before(h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
