package soak

// Regression is a seed whose run failed in the past, with the cause.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions lists the seeds that --regressions runs.
var Regressions = []Regression{
	{10, "a watch of announcements could wait 30 s or longer on a connection that passed data in one direction only; meanwhile the instance routed by an outdated list of servers"},
	{11, "the stand-in of a server did not announce its adapters, although real servers do"},
	{40, "a second SIGTERM ended a planned stop at once"},
	{9001, "instances that reached the store by different addresses gave a request different identities, so that none had the others' evidence on it"},
	{9108, "all instances were down at once, and the judge bound the one that had just started by what nobody could know"},
	{46, "a notice that a version of a model was no longer on a server took precedence over the server's announcement until its next announcement"},
}
