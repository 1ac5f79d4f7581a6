package soak

// Regression is a seed whose run failed in the past, with the cause.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions lists the seeds that --regressions runs.
var Regressions = []Regression{
	{10, "a watch of announcements had no time limit below 30 s: on a connection that lost one direction, an instance routed by an outdated list"},
	{11, "the stand-in of a server did not announce its adapters, as servers do"},
	{40, "a second SIGTERM ended a planned stop at once"},
	{46, "a notice that a version was no longer on a server took precedence over the server's announcement until the server's next one"},
}
