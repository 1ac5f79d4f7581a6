// Package integration holds tests with real processes: the built daemon, several
// instances of it, stand-ins for outside systems and fault-injecting proxies between
// them. docs/PROOFS.md says which promise each test proves.
package integration
