package token

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"
)

var now = time.Unix(1_800_000_000, 0)

func testKey(id string, seedByte byte) Key {
	return Key{id, ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(seedByte), 32)))}
}

func newTestMinter(t testing.TB, k Key, older ...Key) *Minter {
	t.Helper()
	pub := map[string]ed25519.PublicKey{}
	for _, o := range older {
		pub[o.ID] = o.Private.Public().(ed25519.PublicKey)
	}
	m, err := NewMinter(k, pub)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

var testClaims = Claims{Play: "f1-1", Front: "f1", Title: "clip", Product: "lesson", Viewer: "v", Node: "n1", Rung: 1, MaxRung: 2}

func TestRotationAcceptsTheOlderKeyUntilItIsRemoved(t *testing.T) {
	older, newer := testKey("a", 'a'), testKey("b", 'b')
	raw, err := newTestMinter(t, older).Mint(testClaims, now, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if claims, err := newTestMinter(t, newer, older).Check(raw, now); err != nil || claims.Play != testClaims.Play || claims.Rung != 1 {
		t.Fatalf("during the rotation: %+v, %v", claims, err)
	}
	if _, err := newTestMinter(t, newer).Check(raw, now); !errors.Is(err, ErrSignature) {
		t.Fatalf("after the key was removed: %v", err)
	}
	if _, err := NewMinter(newer, map[string]ed25519.PublicKey{"b": nil}); err == nil {
		t.Fatal("two keys with the same id were accepted")
	}
}

func TestTokenIsInvalidFromItsExpiryOn(t *testing.T) {
	m := newTestMinter(t, testKey("a", 'a'))
	raw, _ := m.Mint(testClaims, now, time.Minute)
	if _, err := m.Check(raw, now.Add(time.Minute-time.Second)); err != nil {
		t.Fatal(err)
	}
	claims, err := m.Check(raw, now.Add(time.Minute))
	if !errors.Is(err, ErrExpired) || claims.Play != testClaims.Play {
		t.Fatalf("%+v, %v", claims, err)
	}
}

func TestCheckRejectsForgedTokens(t *testing.T) {
	m := newTestMinter(t, testKey("a", 'a'))
	raw, _ := m.Mint(testClaims, now, time.Minute)
	parts := strings.Split(raw, ".")
	encode := base64.RawURLEncoding.EncodeToString
	other, _ := newTestMinter(t, Key{"a", testKey("a", 'z').Private}).Mint(testClaims, now, time.Minute)
	for name, c := range map[string]struct {
		raw  string
		want error
	}{
		"none":            {encode([]byte(`{"alg":"none","typ":"gullrail-session+jwt","kid":"a"}`)) + "." + parts[1] + ".", ErrSignature},
		"hmac of the key": {encode([]byte(`{"alg":"HS256","kid":"a"}`)) + "." + parts[1] + "." + parts[2], ErrSignature},
		"another body":    {parts[0] + "." + encode([]byte(`{"ply":"x"}`)) + "." + parts[2], ErrSignature},
		"another key":     {other, ErrSignature},
		"no parts":        {"abc", ErrMalformed},
		"empty":           {"", ErrMalformed},
		"too long":        {strings.Repeat("a", maxTokenBytes+1), ErrMalformed},
	} {
		if _, err := m.Check(c.raw, now); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	incomplete, _ := m.Mint(Claims{Play: "only"}, now, time.Minute)
	if _, err := m.Check(incomplete, now); !errors.Is(err, ErrMalformed) {
		t.Errorf("token with missing claims: %v", err)
	}
}

func FuzzCheck(f *testing.F) {
	m := newTestMinter(f, testKey("a", 'a'))
	raw, _ := m.Mint(testClaims, now, time.Minute)
	f.Add(raw)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, s string) {
		claims, err := m.Check(s, now)
		if err == nil && (claims.Play != testClaims.Play || claims.Node != testClaims.Node || claims.Rung != testClaims.Rung) {
			t.Fatalf("accepted a token that was not minted: %q", s)
		}
	})
}
