package admission

import "container/list"

const clientSize = 2 << 10 // bytes that a client's connection keeps in memory while it has sessions, closed or not

// HandOver is a session that a client handed over, which a node is said to run already. It is unconfirmed until its node has sent a
// message about it: a client can name any number of sessions that no node knows.
type HandOver[C comparable, S any] struct {
	Session S
	size    int
	client  *handOverClient[C, S]
	index   int // in client.unconfirmed; -1 once it is confirmed
}

// Confirmed reports whether the session's node has sent a message about it.
func (h *HandOver[C, S]) Confirmed() bool { return h.index < 0 }

// handOverClient is a client with sessions that it handed over.
type handOverClient[C comparable, S any] struct {
	key         C
	number      uint64 // of the client, in order of arrival
	sessions    int    // confirmed ones included
	unconfirmed []*HandOver[C, S]
	size        int           // bytes of the unconfirmed sessions
	departure   *list.Element // in HandOvers.departed; nil while the client is connected
	departedAt  int64
}

// HandOvers bounds the memory of the sessions that clients hand over. When a further one does not fit, an unconfirmed session has to end:
// one of the client that departed first, or else of the client whose unconfirmed sessions take the most memory. A client that hands
// over without end so loses its own sessions first. It is not safe for concurrent use.
type HandOvers[C comparable, S any] struct {
	budget   int // bytes
	used     int // bytes
	clients  map[C]*handOverClient[C, S]
	departed *list.List // of *handOverClient, with unconfirmed sessions or without, the first to depart at the front
	arrivals uint64
}

// NewHandOvers returns an empty table for sessions that take up to budget bytes.
func NewHandOvers[C comparable, S any](budget int) *HandOvers[C, S] {
	return &HandOvers[C, S]{budget: budget, clients: map[C]*handOverClient[C, S]{}, departed: list.New()}
}

// Used returns how many bytes the sessions take.
func (t *HandOvers[C, S]) Used() int { return t.used }

// Fits reports whether another session of a client fits, given its size in bytes.
func (t *HandOvers[C, S]) Fits(client C, size int) bool {
	if t.clients[client] == nil {
		size += clientSize
	}
	return t.used+size <= t.budget
}

// Victim returns the session that has to end before another one of a client may be added. It returns nil if that is the new session itself.
func (t *HandOvers[C, S]) Victim(client C, size int) *HandOver[C, S] {
	for e := t.departed.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*handOverClient[C, S]); len(c.unconfirmed) > 0 {
			return c.newest()
		}
	}
	var largest *handOverClient[C, S]
	for _, c := range t.clients {
		if largest == nil || c.size > largest.size || c.size == largest.size && c.number > largest.number {
			largest = c
		}
	}
	if own := t.clients[client]; own != nil {
		size += own.size
	}
	if largest == nil || len(largest.unconfirmed) == 0 || largest.size <= size {
		return nil
	}
	return largest.newest()
}

func (c *handOverClient[C, S]) newest() *HandOver[C, S] { return c.unconfirmed[len(c.unconfirmed)-1] }

// Add adds an unconfirmed session of a client that takes size bytes.
func (t *HandOvers[C, S]) Add(client C, session S, size int) *HandOver[C, S] {
	c := t.clients[client]
	if c == nil {
		t.arrivals++
		c = &handOverClient[C, S]{key: client, number: t.arrivals}
		t.clients[client] = c
		t.used += clientSize
	}
	h := &HandOver[C, S]{Session: session, size: size, client: c, index: len(c.unconfirmed)}
	c.unconfirmed = append(c.unconfirmed, h)
	c.sessions++
	c.size += size
	t.used += size
	return h
}

// Confirm records that a session's node has sent a message about it.
func (t *HandOvers[C, S]) Confirm(h *HandOver[C, S]) {
	if h.Confirmed() {
		return
	}
	c, last := h.client, len(h.client.unconfirmed)-1
	moved := c.unconfirmed[last]
	c.unconfirmed[h.index], moved.index = moved, h.index
	c.unconfirmed[last] = nil
	c.unconfirmed = c.unconfirmed[:last]
	c.size -= h.size
	h.index = -1
}

// Remove forgets a session that has ended.
func (t *HandOvers[C, S]) Remove(h *HandOver[C, S]) {
	t.Confirm(h)
	c := h.client
	t.used -= h.size
	if c.sessions--; c.sessions > 0 {
		return
	}
	t.used -= clientSize
	delete(t.clients, c.key)
	if c.departure != nil {
		t.departed.Remove(c.departure)
	}
}

// ClientDeparted records that a client's connection has closed. Its sessions go on, but are the first to end when room is needed.
func (t *HandOvers[C, S]) ClientDeparted(now int64, client C) {
	if c := t.clients[client]; c != nil && c.departure == nil {
		c.departure = t.departed.PushBack(c)
		c.departedAt = now
	}
}

// DepartedBefore returns the clients that departed before a time and have unconfirmed sessions, the first to depart first.
func (t *HandOvers[C, S]) DepartedBefore(time int64) (clients []C) {
	for e := t.departed.Front(); e != nil; e = e.Next() {
		c := e.Value.(*handOverClient[C, S])
		if c.departedAt >= time {
			break
		}
		if len(c.unconfirmed) > 0 {
			clients = append(clients, c.key)
		}
	}
	return clients
}

// Unconfirmed returns the unconfirmed sessions of a client.
func (t *HandOvers[C, S]) Unconfirmed(client C) (sessions []S) {
	if c := t.clients[client]; c != nil {
		for _, h := range c.unconfirmed {
			sessions = append(sessions, h.Session)
		}
	}
	return sessions
}
