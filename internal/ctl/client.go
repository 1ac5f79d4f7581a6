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

// settingsName is the settings file in the user's configuration directory.
const settingsName = "limpethub/limpethubctl.json"

// defaultTimeoutMillis is how long to wait for an answer, in milliseconds.
const defaultTimeoutMillis = 10_000

// clientSettings says which instance to talk to, and how. It is the form of the
// settings file.
type clientSettings struct {
	// Server is the URL of an instance's operators' listener.
	Server string `json:"server"`
	// TokenFile holds one token.
	TokenFile string `json:"token_file"`
	// CAFile signs the instance's certificate; empty means the machine's authorities.
	CAFile string `json:"ca_file"`
	// CertFile and KeyFile hold the operator's certificate and its private key.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// Plaintext allows a URL with http.
	Plaintext bool `json:"plaintext"`
	// TimeoutMillis is how long to wait for an answer, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" validate:"gt=0"`
}

// clientFlags holds the flags that stand for fields of clientSettings.
type clientFlags struct {
	// changed reports whether the command line has the named flag.
	changed   func(name string) bool
	settings  string
	server    string
	tokenFile string
	caFile    string
	certFile  string
	keyFile   string
	plaintext bool
	timeout   time.Duration
}

func (f *clientFlags) register(root *cobra.Command) {
	set := root.PersistentFlags()
	f.changed = set.Changed
	set.StringVar(&f.settings, "settings", "", "settings file (default "+settingsName+" in your configuration directory, if there is one)")
	set.StringVar(&f.server, "server", "", "URL of an instance's operators' listener, as in https://10.0.0.1:8444")
	set.StringVar(&f.tokenFile, "token-file", "", "file with your token")
	set.StringVar(&f.caFile, "ca-file", "", "file that signs the instance's certificate")
	set.StringVar(&f.certFile, "cert-file", "", "file with your certificate")
	set.StringVar(&f.keyFile, "key-file", "", "file with the private key of your certificate")
	set.BoolVar(&f.plaintext, "plaintext", false, "allow a --server with http, which shows your token to the network")
	set.DurationVar(&f.timeout, "timeout", 0, "how long to wait for an answer (default 10s)")
}

// override puts the flags that were given in place of the settings.
func (f *clientFlags) override(s *clientSettings) {
	for name, apply := range map[string]func(){
		"server":     func() { s.Server = f.server },
		"token-file": func() { s.TokenFile = f.tokenFile },
		"ca-file":    func() { s.CAFile = f.caFile },
		"cert-file":  func() { s.CertFile = f.certFile },
		"key-file":   func() { s.KeyFile = f.keyFile },
		"plaintext":  func() { s.Plaintext = f.plaintext },
		"timeout":    func() { s.TimeoutMillis = f.timeout.Milliseconds() },
	} {
		if f.changed(name) {
			apply()
		}
	}
}

// clientSettings reads the settings file, if there is one, and applies the flags.
func (t *tool) clientSettings() (clientSettings, error) {
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

// settingsPath returns the settings file to read, or "" if there is none.
func (t *tool) settingsPath() (string, error) {
	if t.flags.settings != "" || t.env.ConfigDir == "" {
		return t.flags.settings, nil
	}
	path := filepath.Join(t.env.ConfigDir, settingsName)
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	return path, err
}

func (s clientSettings) check() error {
	switch {
	case s.Server == "":
		return errors.New("no instance is named: use --server or a settings file")
	case strings.HasPrefix(s.Server, "http://") && !s.Plaintext:
		return fmt.Errorf("%s is plain text: use https, or allow it by --plaintext", s.Server)
	case !strings.HasPrefix(s.Server, "http://") && !strings.HasPrefix(s.Server, "https://"):
		return fmt.Errorf("%q is not a URL that starts with https://", s.Server)
	case (s.CertFile == "") != (s.KeyFile == ""):
		return errors.New("a certificate and its private key go together: name both files")
	case s.TimeoutMillis <= 0:
		return errors.New("the timeout must be above 0")
	}
	return nil
}

// client connects the tool to the instance that the settings name.
func (t *tool) client() (*operatorapi.Client, error) {
	s, err := t.clientSettings()
	if err != nil {
		return nil, &usageError{err: err}
	}
	token, err := s.token()
	if err != nil {
		return nil, &usageError{err: err}
	}
	source, err := keys.Open(keys.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, nil)
	if err != nil {
		return nil, &usageError{err: err}
	}
	client := &http.Client{
		Timeout: time.Duration(s.TimeoutMillis) * time.Millisecond,
		// A command makes a call or two. Idle connections would take places on the
		// instance's bounded listener.
		Transport: &http.Transport{DialTLSContext: source.DialContext, DisableKeepAlives: true},
	}
	return operatorapi.NewClient(s.Server, token, client), nil
}

// token reads the token, which is the only line of its file but for comments.
func (s clientSettings) token() (string, error) {
	if s.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	var tokens []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			tokens = append(tokens, line)
		}
	}
	if len(tokens) != 1 {
		return "", fmt.Errorf("token: %s holds %d tokens, not one", s.TokenFile, len(tokens))
	}
	return tokens[0], nil
}
