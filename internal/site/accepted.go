package site

// Accepted is an accepted configuration: a document with its revision. Every accepted
// change increases the revision by one. Of two accepted configurations of a site, the one
// with the higher revision is in force.
type Accepted struct {
	// Revision is 1 for the first accepted configuration and grows by 1 with each change.
	Revision uint64 `json:"revision"`
	// ChangeID is unique to the change. After a write to the store whose answer was lost, it
	// tells whether the change was stored.
	ChangeID string `json:"change_id"`
	// Document is the merged configuration.
	Document Document `json:"document"`
}
