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

// testCA is a certificate authority that signs certificates for loopback.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newTestCA(t *testing.T) *testCA {
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
	return &testCA{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (a *testCA) sign(t *testing.T, serial int64) (cert, key []byte) {
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

// newTLSRig returns a rig that uses TLS throughout. Unless trusted is set, the front's CA file isn't that of the nodes.
func newTLSRig(t *testing.T, trusted bool) (r *rig, dir string, ca *testCA) {
	ca, dir = newTestCA(t), t.TempDir()
	writeFile := func(name string, text []byte) string {
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
		r.settings.NodesCAFile = writeFile("ca.pem", ca.pem)
		if !trusted {
			r.settings.NodesCAFile = writeFile("ca.pem", newTestCA(t).pem)
		}
		cert, key = ca.sign(t, 20)
		r.settings.CertFile, r.settings.CertKeyFile = writeFile("cert.pem", cert), writeFile("key.pem", key)
		pool := x509.NewCertPool()
		pool.AddCert(ca.cert)
		r.scheme = "https"
		r.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}
	})
	return r, dir, ca
}

func TestPlayOverTLSAndCertificateReload(t *testing.T) {
	r, dir, ca := newTLSRig(t, true)
	x := r.mustPlay("clip", "paid", "v")
	if !strings.HasPrefix(x.manifest.Base, "https://") {
		t.Fatalf("segment base URL is %s, want https", x.manifest.Base)
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
		t.Fatalf("serial number %d, want 20", n)
	}
	os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("incomplete"), 0o600)
	time.Sleep(1100 * time.Millisecond) // longer than the interval at which the files are checked
	if n := serial(); n != 20 {
		t.Fatalf("an invalid certificate file was loaded: serial number %d", n)
	}
	cert, key := ca.sign(t, 30)
	os.WriteFile(filepath.Join(dir, "cert.pem"), cert, 0o600)
	os.WriteFile(filepath.Join(dir, "key.pem"), key, 0o600)
	r.eventually("the new certificate is used", func() bool { return serial() == 30 })
	r.mustPlay("other", "safe", "w")
}

func TestNodeWithUntrustedCertificateGetsNoPlay(t *testing.T) {
	r, _, _ := newTLSRig(t, false)
	if x := r.requestPlay("clip", "paid", "v"); x.status != http.StatusServiceUnavailable {
		t.Fatalf("got %d %s", x.status, x.body)
	}
	if n := r.countEvents(trace.SetUp, ""); n != 0 {
		t.Fatalf("%d set-ups reached nodes with untrusted certificates", n)
	}
}
