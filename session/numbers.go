package session

// numbers gives names small numbers, and gives a number back once nothing refers to it and
// may forget says so. Guards against tables that grow with every name ever met.
type numbers struct {
	at    map[string]int
	names []string
	refs  []int
	free  []int
	idle  []int // without references, the longest idle first; a number may stand here twice
}

func newNumbers() *numbers { return &numbers{at: map[string]int{}} }

// hold returns a name's number and counts one reference.
func (n *numbers) hold(name string) int {
	i, ok := n.at[name]
	if !ok {
		if k := len(n.free); k > 0 {
			i, n.free = n.free[k-1], n.free[:k-1]
			n.names[i], n.refs[i] = name, 0
		} else {
			i = len(n.names)
			n.names, n.refs = append(n.names, name), append(n.refs, 0)
		}
		n.at[name] = i
	}
	n.refs[i]++
	return i
}

// release takes a reference away.
func (n *numbers) release(i int) {
	if n.refs[i]--; n.refs[i] == 0 {
		n.idle = append(n.idle, i)
	}
}

// sweep gives back idle numbers that may be forgotten, looking at so many at most; the others
// come round again.
func (n *numbers) sweep(most int, forget func(i int) bool) {
	looked := min(most, len(n.idle))
	for _, i := range n.idle[:looked] {
		switch {
		case n.refs[i] != 0 || n.names[i] == "": // in use again, or given back already
		case forget(i):
			delete(n.at, n.names[i])
			n.names[i] = ""
			n.free = append(n.free, i)
		default:
			n.idle = append(n.idle, i)
		}
	}
	n.idle = n.idle[:copy(n.idle, n.idle[looked:])]
}
