package load

// counts are numbers of requests per class.
type counts struct {
	byClass []int
	total   int
}

func countsOf(byClass []int) counts {
	c := counts{byClass: append([]int(nil), byClass...)}
	for _, n := range byClass {
		c.total += n
	}
	return c
}

// add adds n, which may be negative, to the count of a class; no count falls below zero.
func (c *counts) add(class, n int) {
	for len(c.byClass) <= class {
		c.byClass = append(c.byClass, 0)
	}
	n = max(n, -c.byClass[class])
	c.byClass[class] += n
	c.total += n
}

func (c *counts) addAll(other counts) {
	for class, n := range other.byClass {
		c.add(class, n)
	}
}

func (c *counts) clear() {
	clear(c.byClass)
	c.total = 0
}

// upTo returns the count of a class and all more urgent ones.
func (c *counts) upTo(class int) int {
	if class >= len(c.byClass) {
		return c.total
	}
	sum := 0
	for _, n := range c.byClass[:class+1] {
		sum += n
	}
	return sum
}
