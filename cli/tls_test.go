package cli

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/demo"
	"github.com/papayasail/papayasail/settings"
)

// selfSigned writes a self-signed certificate for the loopback address and its key.
func selfSigned(t *testing.T) *settings.TLS {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry hosts"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	directory := t.TempDir()
	files := &settings.TLS{Certificate: filepath.Join(directory, "certificate.pem"), Key: filepath.Join(directory, "key.pem")}
	is.NoErr(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return files
}

// Guards against requests over TLS to a host whose certificate can't be verified,
// and against commands that fail over TLS although the CA is given.
func TestCommandsOverTLS(t *testing.T) {
	is := is.New(t)
	files := selfSigned(t)
	site, err := demo.Start(context.Background(), demo.Options{ServerTLS: files})
	is.NoErr(err)
	t.Cleanup(site.Close)
	file := filepath.Join(t.TempDir(), "outlook.yaml")
	is.NoErr(os.WriteFile(file, []byte(site.Documents(0.05)[demo.Narratives]), 0o600))
	host := "https://" + site.Hosts[0].CallerAddress
	code, _, errs := run("", "--host", host, "--ca", files.Certificate, "--token", demo.OperatorToken, "apply", "--wait", file)
	is.Equal(errs, "")
	is.Equal(code, ExitOK)
	code, _, errs = run("", "--host", host, "--ca", files.Certificate, "--token", demo.CallerToken, "generate", "outlook", "--stop-after", "5")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(errs, "whole: 5 tokens"))
	code, _, errs = run("", "--host", host, "--token", demo.OperatorToken, "status")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errs, "certificate"))
	code, _, _ = run("", "--host", host, "--ca", files.Key, "--token", demo.OperatorToken, "status")
	is.Equal(code, ExitFailed) // no certificate in that file
}
