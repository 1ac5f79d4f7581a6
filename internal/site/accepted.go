package site

// Accepted is an accepted configuration: a document with its revision. Every accepted
// change increases the revision by one. Of two accepted configurations of a site, the one
// with the higher revision is in force.
type Accepted struct {
	// Revision is the number of accepted changes, from 1.
	Revision uint64 `json:"revision"`
	// ChangeID is unique to the change. After an unclear write, it tells whether the change
	// was stored.
	ChangeID string `json:"change_id"`
	// Document is the merged configuration.
	Document Document `json:"document"`
}
