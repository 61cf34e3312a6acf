package token

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"
)

var noon = time.Unix(1_800_000_000, 0)

func key(id string, fill byte) Key {
	return Key{id, ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(fill), 32)))}
}

func minter(t testing.TB, k Key, older ...Key) *Minter {
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

var bound = Claims{Play: "f1-1", Front: "f1", Title: "clip", Product: "lesson", Viewer: "v", Node: "n1", Rung: 1, Top: 2}

func TestRotationKeepsTheOlderKeyUntilItIsRetired(t *testing.T) {
	old, young := key("a", 'a'), key("b", 'b')
	raw, err := minter(t, old).Mint(bound, noon, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if cl, err := minter(t, young, old).Check(raw, noon); err != nil || cl.Play != bound.Play || cl.Rung != 1 {
		t.Fatalf("during the rotation: %+v, %v", cl, err)
	}
	if _, err := minter(t, young).Check(raw, noon); !errors.Is(err, ErrSignature) {
		t.Fatalf("after the key was retired: %v", err)
	}
	if _, err := NewMinter(young, map[string]ed25519.PublicKey{"b": nil}); err == nil {
		t.Fatal("one id for two keys was taken")
	}
}

func TestExpiryIsTheFirstMomentThatDoesNotCount(t *testing.T) {
	m := minter(t, key("a", 'a'))
	raw, _ := m.Mint(bound, noon, time.Minute)
	if _, err := m.Check(raw, noon.Add(time.Minute-time.Second)); err != nil {
		t.Fatal(err)
	}
	cl, err := m.Check(raw, noon.Add(time.Minute))
	if !errors.Is(err, ErrExpired) || cl.Play != bound.Play {
		t.Fatalf("%+v, %v", cl, err)
	}
}

func TestForgedTokens(t *testing.T) {
	m := minter(t, key("a", 'a'))
	raw, _ := m.Mint(bound, noon, time.Minute)
	parts := strings.Split(raw, ".")
	enc := base64.RawURLEncoding.EncodeToString
	other, _ := minter(t, Key{"a", key("a", 'z').Private}).Mint(bound, noon, time.Minute)
	for name, c := range map[string]struct {
		raw  string
		want error
	}{
		"none":            {enc([]byte(`{"alg":"none","typ":"gullrail-session+jwt","kid":"a"}`)) + "." + parts[1] + ".", ErrSignature},
		"hmac of the key": {enc([]byte(`{"alg":"HS256","kid":"a"}`)) + "." + parts[1] + "." + parts[2], ErrSignature},
		"another body":    {parts[0] + "." + enc([]byte(`{"ply":"x"}`)) + "." + parts[2], ErrSignature},
		"another key":     {other, ErrSignature},
		"no parts":        {"abc", ErrMalformed},
		"empty":           {"", ErrMalformed},
		"too long":        {strings.Repeat("a", maxSize+1), ErrMalformed},
	} {
		if _, err := m.Check(c.raw, noon); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	empty, _ := m.Mint(Claims{Play: "only"}, noon, time.Minute)
	if _, err := m.Check(empty, noon); !errors.Is(err, ErrMalformed) {
		t.Errorf("claims missing: %v", err)
	}
}

func FuzzCheck(f *testing.F) {
	m := minter(f, key("a", 'a'))
	raw, _ := m.Mint(bound, noon, time.Minute)
	f.Add(raw)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, s string) {
		cl, err := m.Check(s, noon)
		if err == nil && (cl.Play != bound.Play || cl.Node != bound.Node || cl.Rung != bound.Rung) {
			t.Fatalf("a token that nobody minted was taken: %q", s)
		}
	})
}
