// Package intern maps names to small integers and reuses the integers of names no longer referenced.
package intern

// Table maps names to small numbers, and reuses a number once nothing refers to it and the caller agrees to forget
// it. This bounds the size of tables of long-running processes.
type Table struct {
	numbers map[string]int
	names   []string
	refs    []int
	free    []int
	idle    []int // without references, longest idle first; may contain a number twice
}

// New returns an empty table.
func New() *Table { return &Table{numbers: map[string]int{}} }

// Acquire returns the number of a name and adds a reference.
func (t *Table) Acquire(name string) int {
	i, ok := t.numbers[name]
	if !ok {
		if k := len(t.free); k > 0 {
			i, t.free = t.free[k-1], t.free[:k-1]
			t.names[i], t.refs[i] = name, 0
		} else {
			i = len(t.names)
			t.names, t.refs = append(t.names, name), append(t.refs, 0)
		}
		t.numbers[name] = i
	}
	t.refs[i]++
	return i
}

// Release removes a reference.
func (t *Table) Release(i int) {
	if t.refs[i]--; t.refs[i] == 0 {
		t.idle = append(t.idle, i)
	}
}

// sweepShare is the part of the idle numbers that a sweep checks if that is more than its minimum, so that their number stays bounded
// however fast names come and go.
const sweepShare = 8

// Sweep checks at least atLeast idle numbers, or an eighth of all, and frees those that forget agrees to; the others are checked again
// later.
func (t *Table) Sweep(atLeast int, forget func(i int) bool) {
	checked := min(max(atLeast, len(t.idle)/sweepShare), len(t.idle))
	for _, i := range t.idle[:checked] {
		switch {
		case t.refs[i] != 0 || t.names[i] == "": // in use again, or already freed
		case forget(i):
			delete(t.numbers, t.names[i])
			t.names[i] = ""
			t.free = append(t.free, i)
		default:
			t.idle = append(t.idle, i)
		}
	}
	t.idle = t.idle[:copy(t.idle, t.idle[checked:])]
}

// Len returns how many names have a number.
func (t *Table) Len() int { return len(t.numbers) }
