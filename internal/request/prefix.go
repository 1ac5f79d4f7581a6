package request

// PrefixPart identifies the prefix of a prompt that ends with one part and includes all parts
// before it. The caller divides the prompt into parts and states the ID and the length of each.
type PrefixPart struct {
	// Key is a hash of the model and of the IDs of all parts up to the end of this one.
	Key uint64
	// Tokens is the length of the prompt up to the end of the part, in tokens.
	Tokens int
}
