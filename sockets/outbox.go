package sockets

// Kind is what a message kept for a viewer tells.
type Kind uint8

const (
	Answer Kind = iota // the one answer to its request
	Rung               // another rung from now on; it holds all that an earlier one told
	End                // the play is over, or is to be placed anew
)

// Message is one message for a viewer, with its place in the order.
type Message struct {
	Cursor  uint64 // from 1
	Kind    Kind
	Omitted int // messages before it that were left out at the bound
	Value   any // the caller's own
}

// Outbox keeps what a viewer was not seen to receive, in order. Each message has a cursor; the viewer says up to
// which it has them. The zero Outbox is empty. One goroutine at a time.
//
// The bound: at most MaxOutbox messages are kept. One more leaves out the oldest change of rung, which a later one
// replaces; the next message that is kept says how many were left out. The answer and the end, of which there is
// one each, are never left out.
type Outbox struct {
	kept  []Message
	last  uint64
	acked uint64
}

// NewOutboxAt makes an empty box whose messages go on after a cursor that was given elsewhere.
func NewOutboxAt(cursor uint64) Outbox { return Outbox{last: cursor, acked: cursor} }

// Put adds a message and returns its cursor.
func (o *Outbox) Put(k Kind, value any) uint64 {
	if len(o.kept) >= MaxOutbox {
		for i, m := range o.kept {
			if m.Kind == Rung {
				o.kept = append(o.kept[:i], o.kept[i+1:]...)
				if i < len(o.kept) {
					o.kept[i].Omitted += m.Omitted + 1
				} else {
					o.last++
					o.kept = append(o.kept, Message{Cursor: o.last, Kind: k, Omitted: m.Omitted + 1, Value: value})
					return o.last
				}
				break
			}
		}
	}
	o.last++
	o.kept = append(o.kept, Message{Cursor: o.last, Kind: k, Value: value})
	return o.last
}

// Next is the first message kept after a cursor.
func (o *Outbox) Next(cursor uint64) (Message, bool) {
	for _, m := range o.kept {
		if m.Cursor > cursor {
			return m, true
		}
	}
	return Message{}, false
}

// Ack says that the viewer has all up to a cursor. One that was never given, or that goes back, does nothing.
func (o *Outbox) Ack(cursor uint64) {
	if cursor > o.last || cursor <= o.acked {
		return
	}
	o.acked = cursor
	n := 0
	for n < len(o.kept) && o.kept[n].Cursor <= cursor {
		n++
	}
	rest := copy(o.kept, o.kept[n:])
	clear(o.kept[rest:])
	o.kept = o.kept[:rest]
}

// Acked is up to where the viewer has said that it has all.
func (o *Outbox) Acked() uint64 { return o.acked }

// Len is how many messages are kept.
func (o *Outbox) Len() int { return len(o.kept) }
