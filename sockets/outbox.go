package sockets

// MessageKind is the type of a message to a viewer.
type MessageKind uint8

const (
	Answer     MessageKind = iota // the one answer to its request
	RungChange                    // a change of rung; it includes all that an earlier change said
	End                           // the play is over, or must be set up again
)

// Message is one message to a viewer, with its position in the sequence.
type Message struct {
	Cursor  uint64 // from 1
	Kind    MessageKind
	Omitted int // messages before it that were dropped at the limit
	Value   any // set by the caller
}

// Outbox keeps the messages that a viewer has not acknowledged, in order. Each message has a cursor, and the viewer
// acknowledges all messages up to a cursor. The zero Outbox is empty. An Outbox is not safe for concurrent use.
//
// It holds at most MaxOutbox messages. Beyond that, the oldest change of rung is dropped, as a later one replaces it;
// the next message that is kept counts the dropped ones. The answer and the end, of which there is one each, are never
// dropped.
type Outbox struct {
	messages    []Message
	lastCursor  uint64
	ackedCursor uint64
}

// NewOutboxAt returns an empty Outbox whose messages continue after a cursor assigned by another Outbox.
func NewOutboxAt(cursor uint64) Outbox { return Outbox{lastCursor: cursor, ackedCursor: cursor} }

// Put adds a message and returns its cursor.
func (o *Outbox) Put(k MessageKind, value any) uint64 {
	if len(o.messages) >= MaxOutbox {
		for i, m := range o.messages {
			if m.Kind == RungChange {
				o.messages = append(o.messages[:i], o.messages[i+1:]...)
				if i < len(o.messages) {
					o.messages[i].Omitted += m.Omitted + 1
				} else {
					o.lastCursor++
					o.messages = append(o.messages, Message{Cursor: o.lastCursor, Kind: k, Omitted: m.Omitted + 1, Value: value})
					return o.lastCursor
				}
				break
			}
		}
	}
	o.lastCursor++
	o.messages = append(o.messages, Message{Cursor: o.lastCursor, Kind: k, Value: value})
	return o.lastCursor
}

// Next returns the first kept message after a cursor.
func (o *Outbox) Next(cursor uint64) (Message, bool) {
	for _, m := range o.messages {
		if m.Cursor > cursor {
			return m, true
		}
	}
	return Message{}, false
}

// Ack removes the messages up to a cursor, which the viewer has received. A cursor that was never assigned, or is not
// above the last acknowledged one, has no effect.
func (o *Outbox) Ack(cursor uint64) {
	if cursor > o.lastCursor || cursor <= o.ackedCursor {
		return
	}
	o.ackedCursor = cursor
	n := 0
	for n < len(o.messages) && o.messages[n].Cursor <= cursor {
		n++
	}
	remaining := copy(o.messages, o.messages[n:])
	clear(o.messages[remaining:])
	o.messages = o.messages[:remaining]
}

// Acked returns the last acknowledged cursor.
func (o *Outbox) Acked() uint64 { return o.ackedCursor }

// Len returns the number of messages kept.
func (o *Outbox) Len() int { return len(o.messages) }
