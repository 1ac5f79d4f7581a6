// Package crowd tests the built daemon as a real process against many clients at once that don't keep to what the platform
// expects of its clients: bodies and heads that never end, answers that nobody reads, connections on which nothing comes.
//
// The daemon runs with little memory and few descriptors. The tests check only what doesn't depend on the speed of the machine:
// the process lives, its memory and its open descriptors stay under a bound, and an ordinary caller gets its answer. They run one at
// a time, apart from other tests.
package crowd
