// Package token makes and checks session tokens: what ties a viewer to one play, at one playout
// node, for one title, up to one rung, until one moment. A token is a JWT (RFC 7519) signed with
// Ed25519 (RFC 8037) and checked as RFC 8725 asks: one algorithm, a stated type and audience, and
// a key named by its id. The package does no I/O; times come in as arguments.
package token

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

const (
	typ      = "gullrail-session+jwt" // keeps other tokens of the same issuer out
	audience = "gullrail"
	maxSize  = 2048 // bytes: several times the longest one minted; longer ones are not parsed
)

// What a check can find wrong, for errors.Is.
var (
	ErrMalformed = errors.New("token: malformed")
	ErrSignature = errors.New("token: not signed by a key in use")
	ErrExpired   = errors.New("token: expired")
	ErrWrongType = errors.New("token: made for something else")
)

// Claims is what a token binds.
type Claims struct {
	Play    string `json:"ply"`
	Front   string `json:"frt"` // name of the front end that answers for the play
	Title   string `json:"ttl"`
	Product string `json:"prd"`
	Viewer  string `json:"vwr"`
	Node    string `json:"nod"` // name of the playout node
	Rung    int    `json:"rng"` // highest rung that the node may send
	Top     int    `json:"top"` // best rung that the viewer can use
	jwt.RegisteredClaims
}

// Key is a signing key and its id.
type Key struct {
	ID      string
	Private ed25519.PrivateKey
}

// Checker holds the public keys in use. It is safe for use by many goroutines and never changes:
// a rotation makes a new one.
type Checker struct {
	keys   map[string]ed25519.PublicKey
	parser *jwt.Parser
}

// NewChecker makes a checker of the public keys in use, by their ids.
func NewChecker(keys map[string]ed25519.PublicKey) *Checker {
	own := make(map[string]ed25519.PublicKey, len(keys))
	for id, k := range keys {
		own[id] = k
	}
	return &Checker{keys: own, parser: jwt.NewParser(jwt.WithValidMethods([]string{"EdDSA"}),
		jwt.WithAudience(audience), jwt.WithoutClaimsValidation())}
}

// Check returns what a token binds. The error is one of this package's, with its cause. Expiry is
// judged at now; a token that is expired but otherwise sound comes back with ErrExpired and its claims.
func (c *Checker) Check(raw string, now time.Time) (Claims, error) {
	var cl Claims
	if raw == "" || len(raw) > maxSize {
		return cl, fmt.Errorf("%w: %d bytes", ErrMalformed, len(raw))
	}
	t, err := c.parser.ParseWithClaims(raw, &cl, func(t *jwt.Token) (any, error) {
		id, _ := t.Header["kid"].(string)
		key, ok := c.keys[id]
		if !ok {
			return nil, fmt.Errorf("key id %.40q is not in use", id)
		}
		return key, nil
	})
	switch {
	case errors.Is(err, jwt.ErrTokenMalformed):
		return Claims{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	case err != nil: // an unknown key, another algorithm, a wrong signature
		return Claims{}, fmt.Errorf("%w: %v", ErrSignature, err)
	case t.Header["typ"] != typ || len(cl.Audience) != 1 || cl.Audience[0] != audience:
		return Claims{}, fmt.Errorf("%w: type or audience", ErrWrongType)
	case cl.ExpiresAt == nil || cl.Play == "" || cl.Title == "" || cl.Product == "" || cl.Viewer == "" ||
		cl.Node == "" || cl.Front == "" || cl.Rung < 0 || cl.Top < 0:
		return Claims{}, fmt.Errorf("%w: a claim is missing", ErrMalformed)
	case !now.Before(cl.ExpiresAt.Time):
		return cl, fmt.Errorf("%w at %s", ErrExpired, cl.ExpiresAt.Time.UTC().Format(time.RFC3339))
	}
	return cl, nil
}

// Minter signs tokens with one key and checks them with all that are in use: during a rotation the
// older key still counts, so that players keep what they hold.
type Minter struct {
	*Checker
	key Key
}

// NewMinter makes a minter that signs with key and also accepts the older ones.
func NewMinter(key Key, older map[string]ed25519.PublicKey) (*Minter, error) {
	if key.ID == "" || len(key.Private) != ed25519.PrivateKeySize {
		return nil, errors.New("token: the signing key needs an id and an Ed25519 private key")
	}
	all := map[string]ed25519.PublicKey{}
	for id, k := range older {
		if id == key.ID {
			return nil, fmt.Errorf("token: key id %q is used twice", id)
		}
		all[id] = k
	}
	all[key.ID] = key.Private.Public().(ed25519.PublicKey)
	return &Minter{NewChecker(all), key}, nil
}

// Mint signs claims that hold from now for life.
func (m *Minter) Mint(cl Claims, now time.Time, life time.Duration) (string, error) {
	cl.RegisteredClaims = jwt.RegisteredClaims{Audience: jwt.ClaimStrings{audience},
		IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(life))}
	t := jwt.NewWithClaims(jwt.SigningMethodEdDSA, cl)
	t.Header["kid"], t.Header["typ"] = m.key.ID, typ
	raw, err := t.SignedString(m.key.Private)
	if err != nil {
		return "", fmt.Errorf("token: signing: %w", err)
	}
	return raw, nil
}
