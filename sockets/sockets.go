// Package sockets decides about the sockets of players that hold one open: which are let in and when the others
// may come back, which are shed, how long a broken one's plays and answers are kept, how much a player may say, and
// when one that floods or lies is cut off. No I/O and no clock: times are int64 tenths of a millisecond, as in
// package decision. One goroutine at a time.
package sockets

import (
	"cmp"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	ReconnectGrace  = 10 * decision.Second // what a broken socket leaves is kept so long: a phone changes its network in a few
	MaxOutbox       = 16                   // messages kept for one play: rungs change every few seconds at most
	MaxMessageBytes = 8 << 10              // bytes of a player's message: a token and a few words
	MaxPlays        = 4                    // requests and plays on one socket: a screen, a preview and room to change
	PingInterval    = 15 * decision.Second // longer than the common idle times of a phone's radio would be of no use
	PongTimeout     = 5 * decision.Second  // a live peer answers in a round trip
	WriteTimeout    = 3 * decision.Second  // a peer that takes nothing for so long doesn't read
	HelloTimeout    = 10 * decision.Second // a socket on which nothing was asked or resumed for so long is closed
	MinRetryAfter   = 1 * decision.Second

	paceRate    = 400.0                // sockets let in a second: a handshake and a first request cost about 1 ms of CPU
	paceBurst   = 200.0                // at once, on top: a half second's
	paceAhead   = 30 * decision.Second // advice to come back lies no further ahead, however many wait
	sayRate     = 4.0                  // messages a second that a player earns: a report each second and room
	sayBurst    = 20.0                 // and may save up
	warnings    = 10                   // messages over it that are told off before the socket is cut
	claimsMost  = 3                    // times a player may say that a node does not deliver
	claimsOver  = 30 * decision.Second // within this: a third broken node in half a minute is the player's own line
	malformed   = 3                    // messages that do not hold before the socket is cut: a version that differs, not chance
	barredFor   = 30 * decision.Second // a player cut off stays out so long
	barredMost  = 4096                 // names kept that are barred; the longest unseen goes first
	shedSlice   = 64                   // at the bound: one socket in so many is let go at a time, so that room is made in few steps
	slowPenalty = 2 * decision.Second  // of waiting bytes: a reader that far behind goes before one that keeps up
)

// MaxSockets is how many sockets a front may hold that may hold so many connections: a quarter is left for those who ask by
// single requests, and for probes of its health.
func MaxSockets(connections int) int { return max(1, connections*3/4) }

// Refusal is why a socket is not let in, or is let go.
type Refusal uint8

const (
	Admitted    Refusal = iota
	Full                // as many sockets as the front may hold, and none is worth less
	RateLimited         // too many come at once
	Banned              // the player was cut off a moment ago
)

func (r Refusal) String() string {
	return [...]string{"welcome", "the front holds as many sockets as it may", "too many come at once", "this player was cut off"}[r]
}

// Admission lets sockets in.
//
// Guards against the herd that comes when another front dies: thousands of players dial the fronts that are left
// in the same second, and each handshake takes from those that play. Each one over the pace is given a time of its
// own, one after the other, so that those who heed it come evenly. Could harm the first second after a quiet
// start, which lets in no more than the burst.
type Admission struct {
	most   int
	rnd    pcg.Source
	tokens float64
	at     int64
	next   int64 // the first time not yet given away
	barred *simplelru.LRU[string, int64]
}

// NewAdmission makes the admission of a front that may hold so many sockets.
func NewAdmission(now int64, most int, seed uint64) *Admission {
	barred, err := simplelru.NewLRU[string, int64](barredMost, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	return &Admission{most: most, rnd: pcg.New(seed), tokens: paceBurst, at: now, barred: barred}
}

// Admit judges a new socket of a client, while so many are open, and says when to come back if it is not let in.
func (a *Admission) Admit(now int64, client string, open int) (Refusal, int64) {
	if until, ok := a.barred.Get(client); ok {
		if now < until {
			return Banned, max(MinRetryAfter, until-now)
		}
		a.barred.Remove(client)
	}
	if open >= a.most {
		return Full, a.slot(now)
	}
	a.tokens = min(paceBurst, a.tokens+float64(now-a.at)/float64(decision.Second)*paceRate)
	a.at = now
	if a.tokens < 1 {
		return RateLimited, a.slot(now)
	}
	a.tokens--
	return Admitted, 0
}

// slot gives the next free time away, as a pause from now, a little moved by chance.
func (a *Admission) slot(now int64) int64 {
	each := int64(float64(decision.Second) / paceRate)
	a.next = max(a.next, now+MinRetryAfter) + each
	if a.next > now+paceAhead { // more wait than come in that time: begin again, mixed by chance
		a.next = now + MinRetryAfter
	}
	return a.next - now + int64(a.rnd.Float()*float64(each))
}

// Ban keeps a client out for a while.
func (a *Admission) Ban(now int64, client string) { a.barred.Add(client, now+barredFor) }

// SpreadReturns spreads those who are told to go: of so many, each gets a pause drawn from the time that their return
// takes at the pace of one front.
func (a *Admission) SpreadReturns(sockets int) int64 {
	window := max(MinRetryAfter, int64(float64(sockets)/paceRate*float64(decision.Second)))
	return MinRetryAfter + int64(a.rnd.Float()*float64(min(window, paceAhead)))
}

// SocketState is a socket as the shedding sees it.
type SocketState struct {
	Importance float64 // the highest of its plays; 0 without any
	Playing    bool
	WriteDelay int64 // how long its oldest message waits to be taken
	Since      int64 // when it last asked, or opened
}

// Shed chooses which sockets to let go so that others find room: at least one, at most one in shedSlice. Slow
// readers go first, as what waits for them costs memory; then those that play nothing, the longest idle first;
// then those that play, the least important and latest come first. It returns places in the list.
//
// Guards against a front that fills up with idle screens while players who want to watch are turned away. A socket that
// plays is let go for another only if that one matters more, which the caller says by worth; one that plays nothing for anyone.
func Shed(now int64, all []SocketState, worth float64) []int {
	order := make([]int, 0, len(all))
	for i, s := range all {
		if s.WriteDelay < slowPenalty && s.Playing && s.Importance >= worth {
			continue
		}
		order = append(order, i)
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := all[i], all[j]
		slow := func(s SocketState) int {
			if s.WriteDelay >= slowPenalty {
				return 0
			}
			return 1
		}
		playing := func(s SocketState) int {
			if s.Playing {
				return 1
			}
			return 0
		}
		since := cmp.Compare(a.Since, b.Since)
		if a.Playing { // of those that play the latest goes: it has watched least
			since = -since
		}
		return cmp.Or(cmp.Compare(slow(a), slow(b)), cmp.Compare(playing(a), playing(b)), cmp.Compare(a.Importance, b.Importance), since, cmp.Compare(i, j))
	})
	return order[:min(len(order), max(1, len(all)/shedSlice))]
}

// Disposition is what becomes of a request or play whose socket broke.
type Disposition uint8

const (
	Keep     Disposition = iota // until its time comes
	Withdraw                    // nobody waits for the answer any more
	Abandon                     // it plays and its viewer never said that it knows: end it, its seat is free
	Forget                      // the viewer has its play, and may come back by its token; nothing more is kept for it
)

// AfterDisconnect judges what a broken socket left: answered, and then whether the answer was that it plays, and whether the
// viewer has said that it has that answer. limit is the request's time limit, brokeAt when the socket broke. It returns when to judge again.
//
// Guards against an answer that is decided while nobody listens: it waits for its viewer until the time limit
// and no longer, so that a seat is not held for somebody who was told nothing.
func AfterDisconnect(now, limit, brokeAt int64, answered, plays, has bool) (Disposition, int64) {
	over := brokeAt + ReconnectGrace
	if !answered || plays && !has {
		over = min(over, limit)
	}
	switch {
	case now < over:
		return Keep, over
	case !answered:
		return Withdraw, 0
	case plays && !has:
		return Abandon, 0
	}
	return Forget, 0
}

// Behavior judges what one player says on one socket.
type Behavior struct {
	tokens float64
	at     int64
	warned int
	bad    int
	claims [claimsMost]int64 // when the last claims of a broken node were
	next   int
}

// Response is what to do about a message.
type Response uint8

const (
	Accept     Response = iota
	Ignore              // told off, and not acted upon
	Disconnect          // the socket is closed, and the player kept out for a while
)

// NewBehavior begins with all a player may have saved up.
func NewBehavior(now int64) Behavior { return Behavior{tokens: sayBurst, at: now} }

// Message judges one more message. Guards against a player in a loop: it costs itself its socket, and others nothing, as what
// is over the rate is not looked at.
func (b *Behavior) Message(now int64) Response {
	b.tokens = min(sayBurst, b.tokens+float64(now-b.at)/float64(decision.Second)*sayRate)
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return Accept
	}
	if b.warned++; b.warned > warnings {
		return Disconnect
	}
	return Ignore
}

// Malformed judges a message that does not hold.
func (b *Behavior) Malformed() Response {
	if b.bad++; b.bad >= malformed {
		return Disconnect
	}
	return Ignore
}

// NotDelivered judges a player's word that its node does not deliver. Each ends the play there and asks for another place. Guards against a
// player whose own line is broken, or who lies, and would be moved from node to node.
func (b *Behavior) NotDelivered(now int64) Response {
	oldest := b.claims[b.next]
	if oldest != 0 && now-oldest < claimsOver {
		return Ignore
	}
	b.claims[b.next] = now
	b.next = (b.next + 1) % claimsMost
	return Accept
}
