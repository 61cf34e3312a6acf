// Package sockets implements the policies for the WebSocket connections of players: which are accepted and when a
// refused client may retry, which are closed to shed load, how long plays and answers are kept after a disconnect,
// and when a player is limited or disconnected for too many, malformed or false messages. It does no I/O and reads
// no clock: times are int64 tenths of a millisecond, as in package decision. Its types are not safe for concurrent use.
package sockets

import (
	"cmp"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	ReconnectGrace  = 10 * decision.Second // how long state is kept after a disconnect: a phone changes networks within a few seconds
	MaxOutbox       = 16                   // messages kept for one play: the rung changes at most every few seconds
	MaxMessageBytes = 8 << 10              // size of a message from a player: a token and a few short fields
	MaxPlays        = 4                    // requests and plays on one socket: the main play, a preview, and spares for switching titles
	PingInterval    = 15 * decision.Second // a longer interval would exceed the common idle timeouts of phone radios
	PongTimeout     = 5 * decision.Second  // a live peer answers within one round trip
	WriteTimeout    = 3 * decision.Second  // a peer that accepts no data for this long is not reading
	HelloTimeout    = 10 * decision.Second // a socket without a request or resumption for this long is closed
	MinRetryAfter   = 1 * decision.Second

	admitRate           = 400.0                // accepted sockets per second: a handshake and a first request cost about 1 ms of CPU
	admitBurst          = 200.0                // size of the token bucket: half a second at admitRate
	maxRetryAfter       = 30 * decision.Second // limit of the retry delay, however many clients wait
	messageRate         = 4.0                  // messages per second that a player may send: one report each second, and some room
	messageBurst        = 20.0                 // size of the player's token bucket
	maxWarnings         = 10                   // messages over the rate that are ignored with a warning before the socket is closed
	maxDeliveryClaims   = 3                    // times a player may report that a node does not deliver
	deliveryClaimWindow = 30 * decision.Second // within this time: a further broken node in half a minute points to the player's own connection
	maxMalformed        = 3                    // malformed messages that close the socket: repeated ones come from a different version, not from chance
	banDuration         = 30 * decision.Second // how long a player is refused after a forced disconnect
	maxBans             = 4096                 // banned clients remembered; the least recently used is evicted first
	shedDivisor         = 64                   // at MaxSockets, one socket in this many is closed at a time, so that room is made in few steps
	slowReaderDelay     = 2 * decision.Second  // a reader this far behind on its messages is closed before one that keeps up
)

// MaxSockets is the socket limit of a front with the given connection limit. A quarter of the connections is reserved
// for single HTTP requests and health checks.
func MaxSockets(connections int) int { return max(1, connections*3/4) }

// AdmitResult is the result of Admission.Admit: Admitted, or why the socket is refused.
type AdmitResult uint8

const (
	Admitted    AdmitResult = iota
	Full                    // the front is at its socket limit
	RateLimited             // too many new sockets at once
	Banned                  // the player was recently disconnected for its behavior
)

func (r AdmitResult) String() string {
	return [...]string{"welcome", "the front holds as many sockets as it may", "too many come at once", "this player was cut off"}[r]
}

// Admission limits the rate and number of new sockets.
//
// It protects against the reconnects that follow the failure of another front: thousands of players connect to the
// remaining fronts within a second, and each handshake takes CPU time from running plays. Each client over the rate is
// given a retry time of its own, one after the other, so that clients that follow it arrive evenly. The drawback:
// in the first second after an idle start, no more than the burst is accepted.
type Admission struct {
	maxSockets int
	random     pcg.Source
	tokens     float64
	refilledAt int64
	nextRetry  int64 // earliest retry time that is not assigned yet
	bans       *simplelru.LRU[string, int64]
}

// NewAdmission returns the Admission of a front that accepts up to maxSockets sockets.
func NewAdmission(now int64, maxSockets int, seed uint64) *Admission {
	bans, err := simplelru.NewLRU[string, int64](maxBans, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	return &Admission{maxSockets: maxSockets, random: pcg.New(seed), tokens: admitBurst, refilledAt: now, bans: bans}
}

// Admit decides whether to accept a new socket of client while open sockets exist. If it refuses, it also returns the
// delay before the client may retry.
func (a *Admission) Admit(now int64, client string, open int) (AdmitResult, int64) {
	if until, ok := a.bans.Get(client); ok {
		if now < until {
			return Banned, max(MinRetryAfter, until-now)
		}
		a.bans.Remove(client)
	}
	if open >= a.maxSockets {
		return Full, a.reserveRetry(now)
	}
	a.tokens = min(admitBurst, a.tokens+float64(now-a.refilledAt)/float64(decision.Second)*admitRate)
	a.refilledAt = now
	if a.tokens < 1 {
		return RateLimited, a.reserveRetry(now)
	}
	a.tokens--
	return Admitted, 0
}

// reserveRetry assigns the next free retry time and returns it as a delay from now, with a little random jitter.
func (a *Admission) reserveRetry(now int64) int64 {
	interval := int64(float64(decision.Second) / admitRate)
	a.nextRetry = max(a.nextRetry, now+MinRetryAfter) + interval
	if a.nextRetry > now+maxRetryAfter { // every time within the limit is assigned: start over; the jitter mixes the clients
		a.nextRetry = now + MinRetryAfter
	}
	return a.nextRetry - now + int64(a.random.Float64()*float64(interval))
}

// Ban refuses new sockets of a client for banDuration.
func (a *Admission) Ban(now int64, client string) { a.bans.Add(client, now+banDuration) }

// ReconnectDelay returns a retry delay for one of sockets clients that are told to reconnect elsewhere. It is drawn at
// random from the time that one front needs to accept them all at admitRate, limited to maxRetryAfter.
func (a *Admission) ReconnectDelay(sockets int) int64 {
	window := max(MinRetryAfter, int64(float64(sockets)/admitRate*float64(decision.Second)))
	return MinRetryAfter + int64(a.random.Float64()*float64(min(window, maxRetryAfter)))
}

// SocketState is the input to Shed for one socket.
type SocketState struct {
	Importance float64 // highest importance among its plays; 0 without plays
	Playing    bool
	WriteDelay int64 // how long its oldest unsent message has been waiting
	Since      int64 // time of its last request, or of its opening
}

// Shed chooses which sockets to close to make room for new ones: one in shedDivisor, and at least one where there is a
// candidate. Slow readers come first, as their queued messages use memory; then sockets without a play, the longest
// idle first; then sockets with a play, the least important first, and of equal importance the latest first. It
// returns indexes into states.
//
// It keeps a front from filling up with idle clients while new players are refused. A playing socket that keeps up is
// closed only if its importance is below minImportance; a socket without a play may be closed for any new socket.
func Shed(now int64, states []SocketState, minImportance float64) []int {
	order := make([]int, 0, len(states))
	for i, s := range states {
		if s.WriteDelay < slowReaderDelay && s.Playing && s.Importance >= minImportance {
			continue
		}
		order = append(order, i)
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := states[i], states[j]
		slowRank := func(s SocketState) int {
			if s.WriteDelay >= slowReaderDelay {
				return 0
			}
			return 1
		}
		playingRank := func(s SocketState) int {
			if s.Playing {
				return 1
			}
			return 0
		}
		since := cmp.Compare(a.Since, b.Since)
		if a.Playing { // among playing sockets the latest is closed: it has watched least
			since = -since
		}
		return cmp.Or(cmp.Compare(slowRank(a), slowRank(b)), cmp.Compare(playingRank(a), playingRank(b)), cmp.Compare(a.Importance, b.Importance), since, cmp.Compare(i, j))
	})
	return order[:min(len(order), max(1, len(states)/shedDivisor))]
}

// Disposition is what to do with a request or play after its socket disconnected.
type Disposition uint8

const (
	Keep     Disposition = iota // keep it until the returned time
	Withdraw                    // withdraw the request: nobody waits for its answer
	Abandon                     // end the play and free its stream: its viewer never acknowledged it
	Forget                      // drop what is kept: the viewer has its play and may return with its token, or did not fetch a refusal or an end in time
)

// AfterDisconnect decides what to do with a request or play whose socket disconnected at disconnectedAt. answered says
// whether the request has an answer, playing whether that answer started a play that still runs, and acked whether the
// viewer acknowledged it. deadline is the request's time limit. For Keep it also returns when to decide again.
//
// An answer that is reached after the disconnect is kept for its viewer only until the deadline, so that no stream is
// reserved for a viewer who was never told.
func AfterDisconnect(now, deadline, disconnectedAt int64, answered, playing, acked bool) (Disposition, int64) {
	keepUntil := disconnectedAt + ReconnectGrace
	if !answered || playing && !acked {
		keepUntil = min(keepUntil, deadline)
	}
	switch {
	case now < keepUntil:
		return Keep, keepUntil
	case !answered:
		return Withdraw, 0
	case playing && !acked:
		return Abandon, 0
	}
	return Forget, 0
}

// MessageLimiter limits the messages of one player on one socket.
type MessageLimiter struct {
	tokens         float64
	refilledAt     int64
	warnings       int
	malformed      int
	deliveryClaims [maxDeliveryClaims]int64 // times of the latest reports that a node does not deliver; a ring buffer
	nextClaim      int
}

// Action is what to do with a message.
type Action uint8

const (
	Accept     Action = iota
	Ignore            // warn the player and do not act on the message
	Disconnect        // close the socket and ban the player
)

// NewMessageLimiter returns a MessageLimiter with a full token bucket.
func NewMessageLimiter(now int64) MessageLimiter {
	return MessageLimiter{tokens: messageBurst, refilledAt: now}
}

// Message counts one more message against the rate limit. A player that sends in a loop loses its own socket without
// cost to others, as messages over the rate are not processed.
func (l *MessageLimiter) Message(now int64) Action {
	l.tokens = min(messageBurst, l.tokens+float64(now-l.refilledAt)/float64(decision.Second)*messageRate)
	l.refilledAt = now
	if l.tokens >= 1 {
		l.tokens--
		return Accept
	}
	if l.warnings++; l.warnings > maxWarnings {
		return Disconnect
	}
	return Ignore
}

// Malformed counts a malformed message.
func (l *MessageLimiter) Malformed() Action {
	if l.malformed++; l.malformed >= maxMalformed {
		return Disconnect
	}
	return Ignore
}

// NotDelivered decides whether to accept a player's report that its node does not deliver, which ends the play there
// and asks for another node. The limit keeps a player with a broken connection, or one that reports falsely, from being
// moved from node to node.
func (l *MessageLimiter) NotDelivered(now int64) Action {
	oldest := l.deliveryClaims[l.nextClaim]
	if oldest != 0 && now-oldest < deliveryClaimWindow {
		return Ignore
	}
	l.deliveryClaims[l.nextClaim] = now
	l.nextClaim = (l.nextClaim + 1) % maxDeliveryClaims
	return Accept
}
