package peers

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

const (
	// MinSecret is the shortest acceptable fleet secret, in bytes; certificates
	// are public to whoever connects, so a guessable secret would be found offline.
	MinSecret = 16
	// certificateSkew is how far a peer's clock may be behind, and certificateLife how long a process may run.
	certificateSkew = 24 * time.Hour
	certificateLife = 3 * 365 * 24 * time.Hour
)

// Trust holds what proves a router's name to its peers and theirs to it.
type Trust struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewTrust derives one certificate authority from each secret; the first
// secret signs this router's certificate and each of them is accepted from
// peers, so that secrets can be rotated without downtime.
func NewTrust(name string, secrets []string, now time.Time) (*Trust, error) {
	t := &Trust{authorities: x509.NewCertPool()}
	for i, s := range secrets {
		if len(s) < MinSecret {
			return nil, errors.Errorf("fleet secret %d has %d bytes, at least %d are needed", i+1, len(s), MinSecret)
		}
		authority, key, err := authorityOf(s)
		if err != nil {
			return nil, err
		}
		t.authorities.AddCert(authority)
		if i == 0 {
			if t.certificate, err = issue(name, authority, key, now); err != nil {
				return nil, err
			}
		}
	}
	if len(secrets) == 0 {
		return nil, errors.New("no fleet secret is set")
	}
	return t, nil
}

// authorityOf makes the same key and certificate from the same secret at each router.
func authorityOf(secret string) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "mangolug fleet authority", ed25519.SeedSize)
	if err != nil {
		return nil, nil, errors.Wrap(err, "derive authority key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	public := key.Public().(ed25519.PublicKey)
	id := sha256.Sum256(public)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "mangolug fleet"},
		SubjectKeyId:          id[:20],
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create authority")
	}
	authority, err := x509.ParseCertificate(der)
	return authority, key, errors.Wrap(err, "parse authority")
}

func issue(name string, authority *x509.Certificate, key ed25519.PrivateKey, now time.Time) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate serial")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-certificateSkew),
		NotAfter:     now.Add(certificateLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "issue certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// server is the configuration of the listening side.
func (t *Trust) server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    t.authorities,
	}
}

// client is the configuration for a connection to the named peer.
func (t *Trust) client(peer string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.certificate},
		RootCAs:      t.authorities,
		ServerName:   peer,
	}
}
