package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gullrail/testbed/trace"
)

// authority signs certificates for loopback.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (a *authority) sign(t *testing.T, serial int64) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})
}

func secured(t *testing.T, vouched bool) (r *rig, dir string, ca *authority) {
	ca, dir = newAuthority(t), t.TempDir()
	put := func(name string, text []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	r = newRigWith(t, 2, func(r *rig) {
		cert, key := ca.sign(t, 10)
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		r.fleet.tls = &tls.Config{Certificates: []tls.Certificate{pair}}
		r.settings.NodesCA = put("ca.pem", ca.pem)
		if !vouched {
			r.settings.NodesCA = put("ca.pem", newAuthority(t).pem)
		}
		cert, key = ca.sign(t, 20)
		r.settings.Cert, r.settings.CertKey = put("cert.pem", cert), put("key.pem", key)
		pool := x509.NewCertPool()
		pool.AddCert(ca.cert)
		r.scheme = "https"
		r.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}
	})
	return r, dir, ca
}

func TestWholePathOverTLSAndKeysReadAgain(t *testing.T) {
	r, dir, ca := secured(t, true)
	x := r.playing("clip", "paid", "v")
	if !strings.HasPrefix(x.manifest.Base, "https://") {
		t.Fatalf("segments at %s", x.manifest.Base)
	}
	if s := r.segment(x.manifest.Base, 1); s.status != http.StatusOK {
		t.Fatalf("segment: %d %s", s.status, s.body)
	}
	serial := func() int64 {
		pool := x509.NewCertPool()
		pool.AddCert(ca.cert)
		c, err := tls.Dial("tcp", r.addr, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	if n := serial(); n != 20 {
		t.Fatalf("shown certificate %d", n)
	}
	os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half writ"), 0o600)
	time.Sleep(1100 * time.Millisecond) // past the next look at the files
	if n := serial(); n != 20 {
		t.Fatalf("a file that does not hold was taken: %d", n)
	}
	cert, key := ca.sign(t, 30)
	os.WriteFile(filepath.Join(dir, "cert.pem"), cert, 0o600)
	os.WriteFile(filepath.Join(dir, "key.pem"), key, 0o600)
	r.eventually("the new certificate is shown", func() bool { return serial() == 30 })
	r.playing("other", "safe", "w")
}

func TestNodeThatNobodyVouchesForGetsNoPlay(t *testing.T) {
	r, _, _ := secured(t, false)
	if x := r.ask("clip", "paid", "v"); x.status != http.StatusServiceUnavailable {
		t.Fatalf("got %d %s", x.status, x.body)
	}
	if n := r.count(trace.SetUp, ""); n != 0 {
		t.Fatalf("%d set-ups reached nodes that nobody vouches for", n)
	}
}
