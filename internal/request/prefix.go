package request

// PrefixPart identifies a prefix of a prompt: one part together with all parts before it.
type PrefixPart struct {
	// Key identifies the model and the prompt up to the end of the part.
	Key uint64
	// Tokens is the length of the prompt up to the end of the part, in tokens.
	Tokens int
}
