// Package intern maps names to small integers and reuses the integers of names no longer referenced.
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
func (t *Table) Acquire(name string) int {
	i, ok := t.at[name]
	if !ok {
		if k := len(t.free); k > 0 {
			i, t.free = t.free[k-1], t.free[:k-1]
			t.names[i], t.refs[i] = name, 0
		} else {
			i = len(t.names)
			t.names, t.refs = append(t.names, name), append(t.refs, 0)
		}
		t.at[name] = i
	}
	t.refs[i]++
	return i
}

// Release takes a reference away.
func (t *Table) Release(i int) {
	if t.refs[i]--; t.refs[i] == 0 {
		t.idle = append(t.idle, i)
	}
}

// Sweep gives back idle numbers that may be forgotten, looking at so many at most; the others
// come round again.
func (t *Table) Sweep(most int, forget func(i int) bool) {
	looked := min(most, len(t.idle))
	for _, i := range t.idle[:looked] {
		switch {
		case t.refs[i] != 0 || t.names[i] == "": // in use again, or given back already
		case forget(i):
			delete(t.at, t.names[i])
			t.names[i] = ""
			t.free = append(t.free, i)
		default:
			t.idle = append(t.idle, i)
		}
	}
	t.idle = t.idle[:copy(t.idle, t.idle[looked:])]
}

// Len is how many names have a number.
func (t *Table) Len() int { return len(t.at) }
