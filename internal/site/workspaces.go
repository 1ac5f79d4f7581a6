package site

// Workspace is a group of callers that share credentials, a priority and a limit.
type Workspace struct {
	// Name identifies the workspace to backend servers, in logs and in metrics.
	Name string `json:"name" validate:"required"`
	// KeyHashes lists the SHA-256 hashes of the callers' keys, in hexadecimal. The keys themselves
	// aren't part of the configuration that instances hold and exchange.
	KeyHashes []string `json:"key_hashes" validate:"dive,len=64,hexadecimal"`
	// Class replaces the class of the route for requests of the workspace; empty means the
	// class of the route.
	Class string `json:"class,omitempty"`
	// Limit is the limit of what the workspace may use on all instances together.
	Limit WorkspaceLimit `json:"limit,omitzero"`
}

// WorkspaceLimit is a rate limit with a burst. The zero value means no limit.
type WorkspaceLimit struct {
	// PerSecond is the rate, in tokens or requests per second; 0 means no limit.
	PerSecond float64 `json:"per_second" validate:"gte=0"`
	// Burst is how many tokens or requests may be used at once, in addition to the rate.
	Burst float64 `json:"burst" validate:"gte=0"`
	// CountsTokens tells that the limit counts tokens: those of the prompt and the most of the
	// answer. Otherwise it counts requests.
	CountsTokens bool `json:"counts_tokens"`
	// PlainTokens is what a request counts that doesn't state its tokens, if CountsTokens is set.
	PlainTokens int `json:"plain_tokens" validate:"gte=0"`
}

// Unlimited reports whether the workspace has no limit.
func (l WorkspaceLimit) Unlimited() bool { return l.PerSecond <= 0 }

// Cost returns what a request with the given number of tokens counts against the limit. hasTokens is
// false if the caller didn't state the tokens.
func (l WorkspaceLimit) Cost(tokens int, hasTokens bool) int {
	switch {
	case !l.CountsTokens:
		return 1
	case !hasTokens:
		return l.PlainTokens
	}
	return tokens
}
