package site

// Accepted is a configuration as it was accepted: the document with its revision.
// The revision grows by one with each accepted change, so that of two accepted
// configurations of a site the one with the higher revision is in force.
type Accepted struct {
	// Revision counts accepted changes, from 1.
	Revision uint64 `json:"revision"`
	// ChangeID is unique to the change; it resolves a write whose answer was lost.
	ChangeID string `json:"change_id"`
	// Document is the merged configuration.
	Document Document `json:"document"`
}
