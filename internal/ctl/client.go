package ctl

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"limpethub/internal/keys"
	"limpethub/internal/operatorapi"
	"limpethub/internal/strictjson"
)

// defaultSettingsFile is the path of the tool's settings file, relative to the user's
// configuration directory. It is read if --settings is not given.
const defaultSettingsFile = "limpethub/limpethubctl.json"

// defaultTimeoutMillis is how long to wait for the answer to one call, in milliseconds.
const defaultTimeoutMillis = 10_000

// clientSettings says which instance to call, with which credentials. It is the format of
// the tool's settings file.
type clientSettings struct {
	// InstanceURL is the URL of the operators' listener of an entry instance. It is not a
	// backend server's URL, although its name in the settings file is "server".
	InstanceURL string `json:"server"`
	// TokenFile is the file with the operator's token.
	TokenFile string `json:"token_file"`
	// CAFile is the file with the CA certificates that sign the instance's certificate;
	// empty means the system's CAs.
	CAFile string `json:"ca_file"`
	// CertFile and KeyFile are the files with the operator's certificate and its private key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// Plaintext allows an instance URL with http.
	Plaintext bool `json:"plaintext"`
	// TimeoutMillis is how long to wait for the answer to one call, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" validate:"gt=0"`
}

// clientFlags holds --settings and the flags that override fields of clientSettings.
type clientFlags struct {
	// changed reports whether the named flag is given on the command line.
	changed      func(name string) bool
	settingsFile string
	instanceURL  string
	tokenFile    string
	caFile       string
	certFile     string
	keyFile      string
	plaintext    bool
	timeout      time.Duration
}

// registerFlags adds the flags to the root command, and sets f.changed.
func (f *clientFlags) registerFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	f.changed = flags.Changed
	flags.StringVar(&f.settingsFile, "settings", "", "settings file (default "+defaultSettingsFile+" in your configuration directory, if there is one)")
	flags.StringVar(&f.instanceURL, "server", "", "URL of the operators' listener of an entry instance, as in https://10.0.0.1:8444")
	flags.StringVar(&f.tokenFile, "token-file", "", "file with your token")
	flags.StringVar(&f.caFile, "ca-file", "", "file with the CA certificates that sign the instance's certificate (default: the system's CAs)")
	flags.StringVar(&f.certFile, "cert-file", "", "file with your certificate")
	flags.StringVar(&f.keyFile, "key-file", "", "file with the private key of your certificate")
	flags.BoolVar(&f.plaintext, "plaintext", false, "allow an instance URL with http, which sends your token unencrypted")
	flags.DurationVar(&f.timeout, "timeout", 0, "how long to wait for the answer to a call (default 10s)")
}

// override sets the fields of s whose flags are given on the command line.
func (f *clientFlags) override(s *clientSettings) {
	for name, setField := range map[string]func(){
		"server":     func() { s.InstanceURL = f.instanceURL },
		"token-file": func() { s.TokenFile = f.tokenFile },
		"ca-file":    func() { s.CAFile = f.caFile },
		"cert-file":  func() { s.CertFile = f.certFile },
		"key-file":   func() { s.KeyFile = f.keyFile },
		"plaintext":  func() { s.Plaintext = f.plaintext },
		"timeout":    func() { s.TimeoutMillis = f.timeout.Milliseconds() },
	} {
		if f.changed(name) {
			setField()
		}
	}
}

// loadClientSettings reads the settings file, if there is one, applies the flags, and checks
// the result.
func (t *tool) loadClientSettings() (clientSettings, error) {
	s := clientSettings{TimeoutMillis: defaultTimeoutMillis}
	path, err := t.settingsPath()
	if err != nil {
		return s, err
	}
	if path != "" {
		node, problems := strictjson.ReadFile(path)
		if node != nil {
			problems = append(problems, strictjson.Read(node, &s, strictjson.NewIndex(node))...)
		}
		if err := problems.Err(); err != nil {
			return s, err
		}
	}
	t.flags.override(&s)
	return s, s.check()
}

// settingsPath returns the path of the settings file to read, or "" if there is none.
func (t *tool) settingsPath() (string, error) {
	if t.flags.settingsFile != "" || t.env.ConfigDir == "" {
		return t.flags.settingsFile, nil
	}
	path := filepath.Join(t.env.ConfigDir, defaultSettingsFile)
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	return path, err
}

func (s clientSettings) check() error {
	switch {
	case s.InstanceURL == "":
		return errors.New("no instance to call: give --server, or set \"server\" in the settings file")
	case strings.HasPrefix(s.InstanceURL, "http://") && !s.Plaintext:
		return fmt.Errorf("instance URL %s uses http, which sends the token unencrypted: use https, or allow http with --plaintext", s.InstanceURL)
	case !strings.HasPrefix(s.InstanceURL, "http://") && !strings.HasPrefix(s.InstanceURL, "https://"):
		return fmt.Errorf("instance URL %q does not start with https://, as in https://10.0.0.1:8444", s.InstanceURL)
	case (s.CertFile == "") != (s.KeyFile == ""):
		return errors.New("a certificate and its private key must be given together: use both --cert-file and --key-file, or neither")
	case s.TimeoutMillis <= 0:
		return errors.New("the timeout must be at least 1 ms")
	}
	return nil
}

// client returns a client for the instance that the settings name. All its errors are
// usage errors.
func (t *tool) client() (*operatorapi.Client, error) {
	s, err := t.loadClientSettings()
	if err != nil {
		return nil, &usageError{err: err}
	}
	token, err := s.token()
	if err != nil {
		return nil, &usageError{err: err}
	}
	// No callback for reload errors (nil): the tool exits before it would read the files
	// again.
	keySource, err := keys.Open(keys.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, nil)
	if err != nil {
		return nil, &usageError{err: err}
	}
	httpClient := &http.Client{
		Timeout: time.Duration(s.TimeoutMillis) * time.Millisecond,
		// A command makes few calls, so it would gain little from idle connections, and they
		// would count against the connection limit of the operators' listener.
		Transport: &http.Transport{DialTLSContext: keySource.DialContext, DisableKeepAlives: true},
	}
	return operatorapi.NewClient(s.InstanceURL, token, httpClient), nil
}

// token reads the token file, or returns "" if no token file is set. Empty lines and lines
// that start with # are ignored; exactly one line must be left, and it is the token.
func (s clientSettings) token() (string, error) {
	if s.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", fmt.Errorf("read token file: %w", err)
	}
	var tokens []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			tokens = append(tokens, line)
		}
	}
	if len(tokens) != 1 {
		return "", fmt.Errorf("token file %s holds %d tokens: it must hold exactly one", s.TokenFile, len(tokens))
	}
	return tokens[0], nil
}
