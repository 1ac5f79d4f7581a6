// Package fleet holds the tests of membership and configuration spreading together:
// many instances of the two state machines in virtual time, under faults, against
// an oracle. It has no code of its own.
package fleet
