package wsapi

import (
	"sync"
	"time"

	"gullrail/playapi"
	"gullrail/playlog"
	"gullrail/session"
	"gullrail/sockets"
)

// ticket is one request and the play that results from it. The player chooses the id and can resume the ticket by it on
// another socket for a while after a disconnect.
type ticket struct {
	server    *Server
	id        string
	request   playapi.Request
	deadline  int64 // time limit of the request
	startedAt time.Time

	mu             sync.Mutex
	outbox         sockets.Outbox
	sentCursor     uint64  // cursor of the last message sent on the current socket
	socket         *socket // current socket, nil while disconnected
	disconnectedAt int64
	pending        *playapi.Pending
	answered       bool
	granted        bool   // the answer was a play
	answerCursor   uint64 // cursor of the answer
	playID         string
	ended          bool // no more messages follow: the play has ended, or the request was refused
	dropped        bool // removed from the front
	expiryTimer    *time.Timer
}

// onAnswer queues the answer to the request. It may be called on the core's goroutine.
func (t *ticket) onAnswer(answer session.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered, t.granted, t.playID, t.pending = true, answer.Verdict == session.Started, answer.Play, nil
	t.ended = !t.granted
	t.answerCursor = t.outbox.Put(sockets.Answer, answer)
	if t.dropped && t.granted { // the viewer no longer waits; a new goroutine, as this callback must not call the core
		go t.server.service.EndPlay(answer.Play)
		return
	}
	t.wakeWriter()
}

// onEvent queues a change of the play. It is called on the core's goroutine.
func (t *ticket) onEvent(event session.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if event.EndReason != "" {
		t.ended = true
		t.outbox.Put(sockets.End, event)
	} else {
		t.outbox.Put(sockets.RungChange, event.Answer)
	}
	t.wakeWriter()
}

func (t *ticket) wakeWriter() {
	if t.socket != nil {
		t.socket.wakeWriter()
	}
}

// nextMessage returns the next message to send on s, if there is one and s is the current socket.
func (t *ticket) nextMessage(s *socket) (Message, bool) {
	t.mu.Lock()
	m, ok := t.outbox.Next(t.sentCursor)
	if t.socket != s || !ok {
		t.mu.Unlock()
		return Message{}, false
	}
	t.sentCursor = m.Cursor
	t.mu.Unlock()
	out := Message{Ticket: t.id, Cursor: m.Cursor, Omitted: m.Omitted}
	switch value := m.Value.(type) {
	case session.Event:
		out.Type, out.Play = "ended", value.Answer.Play
		switch value.EndReason {
		case playlog.Moved, playlog.Broken:
			out.Type = "moved"
		case playlog.Resumed:
			out.Reason = "it was taken up elsewhere"
		}
		return out, true
	case session.Answer:
		out.Type = "rung"
		if m.Kind == sockets.Answer {
			out.Type, out.Verdict, out.Reason, out.RetryAfterMs = "answer", value.Verdict.String(), value.Reason, session.Duration(value.RetryAfter).Milliseconds()
			t.server.service.Log(t.request, value, "socket", time.Since(t.startedAt))
		}
		if value.Verdict == session.Started {
			grant, err := t.server.service.Grant(value)
			if err != nil { // ended, as the viewer can't use the play without the grant
				t.server.log.Error().Err(err).Msg("granting a play failed; ending the play")
				t.server.service.EndPlay(value.Play)
				return Message{Type: "error", Ticket: t.id, Reason: "the answer could not be given"}, true
			}
			out.Grant = &grant
		}
	}
	return out, true
}

// attach makes s the current socket and continues after the given cursor. It returns the previous socket, if any.
func (t *ticket) attach(s *socket, cursor uint64) (previous *socket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
		t.expiryTimer = nil
	}
	previous, t.socket = t.socket, s
	t.outbox.Ack(cursor)
	t.sentCursor = cursor
	s.wakeWriter()
	return previous
}

// detach handles the disconnect of s.
func (t *ticket) detach(s *socket) {
	t.mu.Lock()
	if t.socket != s {
		t.mu.Unlock()
		return
	}
	t.socket, t.disconnectedAt = nil, t.server.now()
	t.mu.Unlock()
	t.expire()
}

// expire decides whether a disconnected ticket is kept, and then sets a timer to decide again, or is removed.
func (t *ticket) expire() {
	t.mu.Lock()
	if t.socket != nil || t.dropped {
		t.mu.Unlock()
		return
	}
	now := t.server.now()
	disposition, retryAt := sockets.AfterDisconnect(now, t.deadline, t.disconnectedAt, t.answered, t.granted && !t.ended, t.outbox.Acked() >= t.answerCursor)
	if disposition == sockets.Keep {
		t.expiryTimer = time.AfterFunc(session.Duration(retryAt-now)+time.Millisecond, t.expire)
		t.mu.Unlock()
		return
	}
	t.dropped = true
	pending, playID := t.pending, t.playID
	t.mu.Unlock()
	t.server.removeTicket(t)
	switch disposition {
	case sockets.Withdraw:
		if pending != nil {
			pending.Withdraw()
		}
	case sockets.Abandon:
		t.server.service.EndPlay(playID)
	case sockets.Forget:
		t.server.service.Post(func(_ int64, c *session.Core) { c.Unsubscribe(playID) })
	}
}

// end removes the ticket and ends its request or play, as the viewer has left.
func (t *ticket) end() {
	t.mu.Lock()
	t.dropped = true
	pending, playID, granted := t.pending, t.playID, t.granted
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
	t.socket = nil
	t.mu.Unlock()
	t.server.removeTicket(t)
	if pending != nil {
		pending.Withdraw()
	}
	if granted {
		t.server.service.EndPlay(playID)
	}
}

// ack handles the viewer's acknowledgement of all messages up to a cursor. The ticket is removed if it has ended and
// everything is acknowledged.
func (t *ticket) ack(cursor uint64) {
	t.mu.Lock()
	t.outbox.Ack(cursor)
	done := t.ended && t.answered && t.outbox.Len() == 0 && !t.dropped
	t.dropped = t.dropped || done
	socket := t.socket
	t.mu.Unlock()
	if done {
		t.server.removeTicket(t)
		if socket != nil {
			socket.removeTicket(t)
		}
	}
}

// shedState returns what the selection of sockets to shed needs to know.
func (t *ticket) shedState() (playing bool, importance float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.granted && !t.ended, t.server.service.Config.Products[t.request.Product].Importance
}
