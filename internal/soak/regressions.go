package soak

// Regression is a seed that failed once, with the cause.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions are played by --regressions.
var Regressions = []Regression{
	{10, "a watch of announcements had no bound below 30 s: behind a connection that lost one direction an instance routed by an old list"},
	{11, "the stand-in of a server didn't announce its adapters, as servers do"},
	{40, "a second SIGTERM ended a planned stop at once"},
	{46, "news that a version had left a server went before its announcement until the server's next one"},
}
