// Package fleet tests membership and configuration distribution together. It simulates many
// instances of both state machines in virtual time, injects faults, and checks each step
// against an oracle. The package contains only tests and benchmarks.
package fleet
