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
	// MinSecret is the minimum length of a fleet secret, in bytes. Whoever connects
	// sees the certificates, so a weak secret could be guessed offline.
	MinSecret = 16
	// maxClockSkew is how far a peer's clock may be behind.
	maxClockSkew = 24 * time.Hour
	// certificateLifetime is the validity of a certificate, and so the longest time that a process may run.
	certificateLifetime = 3 * 365 * 24 * time.Hour
)

// Trust holds a router's certificate and the certificate authorities that it accepts from peers.
type Trust struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewTrust derives a certificate authority from each secret. The first one
// signs this router's certificate, and peers may use any of them, so that
// secrets can be rotated without downtime. It returns an error if there is no
// secret or one is shorter than MinSecret.
func NewTrust(name string, secrets []string, now time.Time) (*Trust, error) {
	t := &Trust{authorities: x509.NewCertPool()}
	for i, s := range secrets {
		if len(s) < MinSecret {
			return nil, errors.Errorf("fleet secret %d has %d bytes, at least %d are needed", i+1, len(s), MinSecret)
		}
		authority, key, err := deriveAuthority(s)
		if err != nil {
			return nil, err
		}
		t.authorities.AddCert(authority)
		if i == 0 {
			if t.certificate, err = issueCertificate(name, authority, key, now); err != nil {
				return nil, err
			}
		}
	}
	if len(secrets) == 0 {
		return nil, errors.New("no fleet secret is set")
	}
	return t, nil
}

// deriveAuthority derives a certificate authority from a secret; each router derives the same key from the same secret.
func deriveAuthority(secret string) (*x509.Certificate, ed25519.PrivateKey, error) {
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

func issueCertificate(name string, authority *x509.Certificate, key ed25519.PrivateKey, now time.Time) (tls.Certificate, error) {
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
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "issue certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// serverConfig returns the TLS configuration of the listener.
func (t *Trust) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    t.authorities,
	}
}

// clientConfig returns the TLS configuration for a connection to the named peer.
func (t *Trust) clientConfig(peer string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.certificate},
		RootCAs:      t.authorities,
		ServerName:   peer,
	}
}
