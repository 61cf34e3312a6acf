// Package token signs and checks session tokens. A token binds a viewer to one play of one title on
// one playout node, up to a highest rung, until it expires. It is a JWT (RFC 7519) signed with
// Ed25519 (RFC 8037) and checked as RFC 8725 recommends: one algorithm, an explicit type and
// audience, and a key selected by its id. The package does no I/O; times are passed as arguments.
package token

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

const (
	tokenType     = "gullrail-session+jwt" // rejects other tokens of the same issuer
	audience      = "gullrail"
	maxTokenBytes = 2048 // several times the size of the longest token minted; longer ones are not parsed
)

// Errors that Checker.Check returns, for use with errors.Is.
var (
	ErrMalformed = errors.New("token: malformed")
	ErrSignature = errors.New("token: not signed by a key in use")
	ErrExpired   = errors.New("token: expired")
	ErrWrongType = errors.New("token: made for something else")
)

// Claims are the claims of a session token.
type Claims struct {
	Play    string `json:"ply"`
	Front   string `json:"frt"` // name of the front end that manages the play
	Title   string `json:"ttl"`
	Product string `json:"prd"`
	Viewer  string `json:"vwr"`
	Node    string `json:"nod"` // name of the playout node
	Rung    int    `json:"rng"` // highest rung that the node may send
	MaxRung int    `json:"top"` // highest rung that the viewer can use
	jwt.RegisteredClaims
}

// Key is a signing key with its id.
type Key struct {
	ID      string
	Private ed25519.PrivateKey
}

// Checker checks tokens against the public keys in use. It is immutable and safe for concurrent
// use; a key rotation creates a new one.
type Checker struct {
	keys   map[string]ed25519.PublicKey
	parser *jwt.Parser
}

// NewChecker returns a Checker for the public keys in use, by key id.
func NewChecker(keys map[string]ed25519.PublicKey) *Checker {
	copied := make(map[string]ed25519.PublicKey, len(keys))
	for id, k := range keys {
		copied[id] = k
	}
	return &Checker{keys: copied, parser: jwt.NewParser(jwt.WithValidMethods([]string{"EdDSA"}),
		jwt.WithAudience(audience), jwt.WithoutClaimsValidation())}
}

// Check returns the claims of a valid token. Otherwise the error wraps one of this package's
// errors. Expiry is checked against now; for an expired but otherwise valid token, Check returns
// the claims together with ErrExpired.
func (c *Checker) Check(raw string, now time.Time) (Claims, error) {
	var claims Claims
	if raw == "" || len(raw) > maxTokenBytes {
		return claims, fmt.Errorf("%w: %d bytes", ErrMalformed, len(raw))
	}
	parsed, err := c.parser.ParseWithClaims(raw, &claims, func(parsed *jwt.Token) (any, error) {
		id, _ := parsed.Header["kid"].(string)
		key, ok := c.keys[id]
		if !ok {
			return nil, fmt.Errorf("key id %.40q is not in use", id)
		}
		return key, nil
	})
	switch {
	case errors.Is(err, jwt.ErrTokenMalformed):
		return Claims{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	case err != nil: // unknown key, other algorithm or wrong signature
		return Claims{}, fmt.Errorf("%w: %v", ErrSignature, err)
	case parsed.Header["typ"] != tokenType || len(claims.Audience) != 1 || claims.Audience[0] != audience:
		return Claims{}, fmt.Errorf("%w: type or audience", ErrWrongType)
	case claims.ExpiresAt == nil || claims.Play == "" || claims.Title == "" || claims.Product == "" || claims.Viewer == "" ||
		claims.Node == "" || claims.Front == "" || claims.Rung < 0 || claims.MaxRung < 0:
		return Claims{}, fmt.Errorf("%w: a claim is missing", ErrMalformed)
	case !now.Before(claims.ExpiresAt.Time):
		return claims, fmt.Errorf("%w at %s", ErrExpired, claims.ExpiresAt.Time.UTC().Format(time.RFC3339))
	}
	return claims, nil
}

// Minter signs tokens with one key and checks them with all keys in use: during a rotation the
// older key is still accepted, so that the tokens held by players stay valid.
type Minter struct {
	*Checker
	key Key
}

// NewMinter returns a Minter that signs with key and also accepts tokens signed with the older keys.
func NewMinter(key Key, older map[string]ed25519.PublicKey) (*Minter, error) {
	if key.ID == "" || len(key.Private) != ed25519.PrivateKeySize {
		return nil, errors.New("token: the signing key needs an id and an Ed25519 private key")
	}
	keys := map[string]ed25519.PublicKey{}
	for id, k := range older {
		if id == key.ID {
			return nil, fmt.Errorf("token: key id %q is used twice", id)
		}
		keys[id] = k
	}
	keys[key.ID] = key.Private.Public().(ed25519.PublicKey)
	return &Minter{NewChecker(keys), key}, nil
}

// Mint returns a signed token with the given claims, valid from now for lifetime.
func (m *Minter) Mint(claims Claims, now time.Time, lifetime time.Duration) (string, error) {
	claims.RegisteredClaims = jwt.RegisteredClaims{Audience: jwt.ClaimStrings{audience},
		IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(lifetime))}
	unsigned := jwt.NewWithClaims(jwt.SigningMethodEdDSA, claims)
	unsigned.Header["kid"], unsigned.Header["typ"] = m.key.ID, tokenType
	raw, err := unsigned.SignedString(m.key.Private)
	if err != nil {
		return "", fmt.Errorf("token: signing: %w", err)
	}
	return raw, nil
}
