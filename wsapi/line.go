package wsapi

import (
	"sync"
	"time"

	"gullrail/playapi"
	"gullrail/playlog"
	"gullrail/session"
	"gullrail/sockets"
)

// line is one request and its play, by its ticket. It outlives its socket for a while.
type line struct {
	front   *Front
	ticket  string
	request playapi.Request
	limit   int64 // of the request
	began   time.Time

	mu       sync.Mutex
	box      sockets.Outbox
	sent     uint64  // cursor up to which the socket in force was sent
	socket   *socket // nil while there is none
	brokeAt  int64
	pending  *playapi.Pending
	answered bool
	plays    bool
	answerAt uint64 // cursor of the answer
	play     string
	over     bool // nothing more comes: its end was told, or it never played
	dropped  bool
	judge    *time.Timer
}

// hear takes the one answer. It may be called on the core's goroutine.
func (l *line) hear(ans session.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered, l.plays, l.play, l.pending = true, ans.Verdict == session.Plays, ans.Play, nil
	l.over = !l.plays
	l.answerAt = l.box.Put(sockets.Answer, ans)
	if l.dropped && l.plays { // its viewer is past waiting; a goroutine, as the core must not be called from here
		go l.front.desk.EndPlay(ans.Play)
		return
	}
	l.poke()
}

// event takes a change of the play, on the core's goroutine.
func (l *line) event(e session.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Ended != "" {
		l.over = true
		l.box.Put(sockets.End, e)
	} else {
		l.box.Put(sockets.Rung, e.Answer)
	}
	l.poke()
}

func (l *line) poke() {
	if l.socket != nil {
		l.socket.poke()
	}
}

// next is the next message for the socket in force, if this is it.
func (l *line) next(s *socket) (Message, bool) {
	l.mu.Lock()
	m, ok := l.box.Next(l.sent)
	if l.socket != s || !ok {
		l.mu.Unlock()
		return Message{}, false
	}
	l.sent = m.Cursor
	l.mu.Unlock()
	out := Message{Ticket: l.ticket, Cursor: m.Cursor, Skipped: m.Omitted}
	switch v := m.Value.(type) {
	case session.Event:
		out.Type, out.Play = "ended", v.Answer.Play
		switch v.Ended {
		case playlog.Moved, playlog.Broken:
			out.Type = "moved"
		case playlog.Returned:
			out.Why = "it was taken up elsewhere"
		}
		return out, true
	case session.Answer:
		out.Type = "rung"
		if m.Kind == sockets.Answer {
			out.Type, out.Verdict, out.Why, out.ComeBack = "answer", v.Verdict.String(), v.Reason, session.Duration(v.RetryAfter).Milliseconds()
			l.front.desk.Log(l.request, v, "socket", time.Since(l.began))
		}
		if v.Verdict == session.Plays {
			g, err := l.front.desk.Grant(v)
			if err != nil { // the viewer never learns of its play
				l.front.log.Error().Err(err).Msg("grant")
				l.front.desk.EndPlay(v.Play)
				return Message{Type: "error", Ticket: l.ticket, Why: "the answer could not be given"}, true
			}
			out.Grant = &g
		}
	}
	return out, true
}

// attach makes a socket the one in force, from after a cursor, and tells the one before.
func (l *line) attach(s *socket, cursor uint64) (before *socket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.judge != nil {
		l.judge.Stop()
		l.judge = nil
	}
	before, l.socket = l.socket, s
	l.box.Ack(cursor)
	l.sent = cursor
	s.poke()
	return before
}

// detach says that a socket broke. What becomes of the line is judged now and again later.
func (l *line) detach(s *socket) {
	l.mu.Lock()
	if l.socket != s {
		l.mu.Unlock()
		return
	}
	l.socket, l.brokeAt = nil, l.front.now()
	l.mu.Unlock()
	l.left()
}

// left judges a line without a socket.
func (l *line) left() {
	l.mu.Lock()
	if l.socket != nil || l.dropped {
		l.mu.Unlock()
		return
	}
	now := l.front.now()
	fate, again := sockets.AfterDisconnect(now, l.limit, l.brokeAt, l.answered, l.plays && !l.over, l.box.Acked() >= l.answerAt)
	if fate == sockets.Keep {
		l.judge = time.AfterFunc(session.Duration(again-now)+time.Millisecond, l.left)
		l.mu.Unlock()
		return
	}
	l.dropped = true
	pending, play := l.pending, l.play
	l.mu.Unlock()
	l.front.drop(l)
	switch fate {
	case sockets.Withdraw:
		if pending != nil {
			pending.Withdraw()
		}
	case sockets.Abandon:
		l.front.desk.EndPlay(play)
	case sockets.Forget:
		l.front.desk.Post(func(_ int64, c *session.Core) { c.Unsubscribe(play) })
	}
}

// bye ends the line as its viewer is done.
func (l *line) bye() {
	l.mu.Lock()
	l.dropped = true
	pending, play, plays := l.pending, l.play, l.plays
	if l.judge != nil {
		l.judge.Stop()
	}
	l.socket = nil
	l.mu.Unlock()
	l.front.drop(l)
	if pending != nil {
		pending.Withdraw()
	}
	if plays {
		l.front.desk.EndPlay(play)
	}
}

// ack takes the viewer's word up to where it has all; one that is over and received is done with.
func (l *line) ack(cursor uint64) {
	l.mu.Lock()
	l.box.Ack(cursor)
	done := l.over && l.answered && l.box.Len() == 0 && !l.dropped
	l.dropped = l.dropped || done
	s := l.socket
	l.mu.Unlock()
	if done {
		l.front.drop(l)
		if s != nil {
			s.let(l)
		}
	}
}

// standing is the line as shedding sees it.
func (l *line) standing() (playing bool, importance float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.plays && !l.over, l.front.desk.Config.Products[l.request.Product].Importance
}
