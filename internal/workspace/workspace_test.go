package workspace

import (
	"errors"
	"testing"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

const bound = 5 * time.Second

// fixture is an Authorizer with a clock and proofs that tests set.
type fixture struct {
	*Authorizer
	table         *Table
	now, provenAt time.Time
}

func newFixture(revocation time.Duration) *fixture {
	f := &fixture{now: time.Unix(1000, 0), provenAt: time.Unix(1000, 0)}
	f.Authorizer = NewAuthorizer(Options{
		Table: func() *Table { return f.table }, Revocation: revocation,
		ProvenAt: func(uint64) time.Time { return f.provenAt }, Now: func() time.Time { return f.now },
	})
	f.setKeys("k1")
	return f
}

// setKeys puts a configuration in force with one workspace, w, that has the keys.
func (f *fixture) setKeys(keys ...string) {
	w := site.Workspace{Name: "w"}
	for _, key := range keys {
		w.KeyHashes = append(w.KeyHashes, request.HashKey(key).String())
	}
	f.table = NewTable(&site.Accepted{Revision: 1, Document: site.Document{RequireKeys: true, Workspaces: []site.Workspace{w}}})
}

func presented(key string) Credential {
	return Credential{KeyHash: request.HashKey(key), Presented: true}
}

func codeOf(t *testing.T, err error) verdict.Code {
	t.Helper()
	if err == nil {
		return ""
	}
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
		t.Fatalf("got error %v, want a *verdict.Error with NotRun", err)
	}
	return e.Code
}

// TestAuthorize guards against requests that run without a valid key, and valid ones that don't.
func TestAuthorize(t *testing.T) {
	public, other := &site.Route{Public: true}, &site.Route{}
	for name, c := range map[string]struct {
		credential Credential
		route      *site.Route
		proofAge   time.Duration
		owner      string
		code       verdict.Code
	}{
		"known key":                    {presented("k1"), other, 0, "w", ""},
		"unknown key":                  {presented("k2"), other, 0, "", verdict.CodeUnauthorized},
		"no key":                       {Credential{}, other, 0, "", verdict.CodeUnauthorized},
		"public, no key":               {Credential{}, public, 0, "", ""},
		"public, known key":            {presented("k1"), public, 0, "w", ""},
		"public, unknown key":          {presented("k2"), public, 0, "", verdict.CodeUnauthorized},
		"proof as old as may be":       {presented("k1"), other, bound*19/20 - 1, "w", ""},
		"proof too old":                {presented("k1"), other, bound * 19 / 20, "w", verdict.CodeStaleConfiguration},
		"unknown key, proof too old":   {presented("k2"), other, bound, "", verdict.CodeStaleConfiguration},
		"public, no key, no new proof": {Credential{}, public, bound, "", ""},
	} {
		f := newFixture(bound)
		f.now = f.now.Add(c.proofAge)
		owner, err := f.Authorize(c.credential, c.route)
		got := ""
		if owner != nil {
			got = owner.Name
		}
		if code := codeOf(t, err); got != c.owner || code != c.code {
			t.Errorf("%s: got workspace %q, code %q, want %q, %q", name, got, code, c.owner, c.code)
		}
	}
}

// TestNoConfigurationIsNotAnUnknownKey guards against callers that take a start of an instance for a revocation.
func TestNoConfigurationIsNotAnUnknownKey(t *testing.T) {
	f := newFixture(bound)
	f.table = nil
	_, err := f.Authorize(presented("k1"), &site.Route{})
	if code := codeOf(t, err); code != verdict.CodeStaleConfiguration {
		t.Errorf("got code %q, want %q", code, verdict.CodeStaleConfiguration)
	}
}

// TestWithoutStrictRevocationNoProofIsNeeded guards against refusals where operators accept late revocations.
func TestWithoutStrictRevocationNoProofIsNeeded(t *testing.T) {
	f := newFixture(0)
	f.provenAt = time.Time{}
	if _, err := f.Authorize(presented("k1"), &site.Route{}); err != nil {
		t.Error(err)
	}
}

// TestWaitingRequestDoesNotOutliveItsKey guards against a request that waits for a server or a peer while its key is
// revoked, while the proof ends, or while the process is stopped, and runs nevertheless.
func TestWaitingRequestDoesNotOutliveItsKey(t *testing.T) {
	r := &request.Request{Workspace: "w", KeyHash: request.HashKey("k1")}
	for name, c := range map[string]struct {
		change func(*fixture)
		code   verdict.Code
	}{
		"nothing":             {func(*fixture) {}, ""},
		"key revoked":         {func(f *fixture) { f.setKeys("k2") }, verdict.CodeUnauthorized},
		"no keys known":       {func(f *fixture) { f.setKeys() }, verdict.CodeUnauthorized},
		"process was stopped": {func(f *fixture) { f.now = f.now.Add(time.Hour) }, verdict.CodeStaleConfiguration},
		"no proof":            {func(f *fixture) { f.provenAt = time.Time{} }, verdict.CodeStaleConfiguration},
		"other workspace": {func(f *fixture) {
			f.table = NewTable(&site.Accepted{Document: site.Document{RequireKeys: true, Workspaces: []site.Workspace{
				{Name: "v", KeyHashes: []string{request.HashKey("k1").String()}},
			}}})
		}, verdict.CodeStaleConfiguration},
	} {
		f := newFixture(bound)
		c.change(f)
		if code := codeOf(t, f.Recheck(r)); code != c.code {
			t.Errorf("%s: got code %q, want %q", name, code, c.code)
		}
	}
}

// TestUnknownKeyOfAPeerMayBeValid guards against a 401 for a valid key, from an instance whose configuration is older than
// that of the one which passed the request on.
func TestUnknownKeyOfAPeerMayBeValid(t *testing.T) {
	f := newFixture(bound)
	for name, credential := range map[string]Credential{"unknown": presented("k2"), "none": {}} {
		_, err := f.AuthorizePassedOn(credential, &site.Route{})
		if code := codeOf(t, err); code != verdict.CodeStaleConfiguration {
			t.Errorf("%s: got code %q, want %q", name, code, verdict.CodeStaleConfiguration)
		}
	}
	if owner, err := f.AuthorizePassedOn(presented("k1"), &site.Route{}); err != nil || owner.Name != "w" {
		t.Errorf("known key: got %v, %v", owner, err)
	}
}

// TestKeyOfTwoWorkspacesIsUnknown guards against requests that count for another workspace than their own.
func TestKeyOfTwoWorkspacesIsUnknown(t *testing.T) {
	hash := request.HashKey("k")
	table := NewTable(&site.Accepted{Document: site.Document{RequireKeys: true, Workspaces: []site.Workspace{
		{Name: "a", KeyHashes: []string{hash.String(), hash.String()}}, {Name: "b", KeyHashes: []string{hash.String()}},
	}}})
	if w, ok := table.Lookup(hash); ok {
		t.Errorf("the key belongs to %s, want to none", w.Name)
	}
}
