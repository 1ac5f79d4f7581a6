// Package integration tests the built daemon as real processes: several instances of it
// run against simulated outside systems, with fault-injecting proxies between them.
// docs/PROOFS.md lists the guarantee that each test checks.
package integration
