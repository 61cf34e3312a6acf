// Package intern gives names small numbers.
package intern

// Table gives names small numbers, and gives a number back once nothing refers to it and
// may forget says so. Guards against tables that grow with every name ever met.
type Table struct {
	at    map[string]int
	names []string
	refs  []int
	free  []int
	idle  []int // without references, the longest idle first; a number may stand here twice
}

// New makes a table that knows no name.
func New() *Table { return &Table{at: map[string]int{}} }

// Acquire returns a name's number and counts one reference.
func (n *Table) Acquire(name string) int {
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

// Release takes a reference away.
func (n *Table) Release(i int) {
	if n.refs[i]--; n.refs[i] == 0 {
		n.idle = append(n.idle, i)
	}
}

// Sweep gives back idle numbers that may be forgotten, looking at so many at most; the others
// come round again.
func (n *Table) Sweep(most int, forget func(i int) bool) {
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

// Len is how many names have a number.
func (n *Table) Len() int { return len(n.at) }
