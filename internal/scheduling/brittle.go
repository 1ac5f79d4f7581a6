package scheduling

import (
	"errors"
	"slices"
	"time"

	"limpethub/internal/scheduling/room"
	"limpethub/internal/verdict"
)

// ObserveBrittle implements Scheduler.
func (c *core) ObserveBrittle(now time.Time, name string, brittle bool) []Decision {
	s := c.servers[name]
	if s == nil || s.saysBrittle == brittle {
		return nil
	}
	s.saysBrittle = brittle
	c.updateRooms()
	return c.advance(now)
}

// updateRooms gives each server of a service with brittle ones a room, and takes those of others away.
func (c *core) updateRooms() {
	brittle := map[string]bool{}
	for _, s := range c.servers {
		if s.saysBrittle && s.listed {
			for _, service := range s.services() {
				brittle[service] = true
			}
		}
	}
	for _, s := range c.servers {
		isBrittle := s.saysBrittle || slices.ContainsFunc(s.services(), func(service string) bool { return brittle[service] })
		switch {
		case !isBrittle:
			s.room = nil
		case s.room == nil:
			s.room = &room.Room{}
		}
		c.updateRoom(s)
	}
}

// services returns the services that the server belongs to.
func (s *server) services() []string {
	if s.Pool != "" {
		return append([]string{s.Pool}, s.Services...)
	}
	return s.Services
}

// updateRoom sets the slots that this instance has of a server. A server that doesn't tell its slots has no room to
// deal out.
func (c *core) updateRoom(s *server) {
	switch batch := s.limit.Batch(); {
	case s.room == nil:
	case batch == 0:
		s.room = nil
	default:
		s.room.SetOwned(room.Owned(s.Name, batch, c.instances, c.instance))
	}
}

// observeRejection tells a room how a request ended that didn't end well. outstanding is how many others the server
// has of this instance.
func (s *server) observeRejection(now time.Time, o Outcome) {
	var e *verdict.Error
	switch {
	case s.room == nil || o.Unsent || o.NotResident:
	case errors.As(o.Err, &e) && e.Code == verdict.CodeServerRefused:
		s.room.Rejected(now, s.load.Own())
	default:
		s.room.BrokenOff(now)
	}
}

// roomOwners returns the instances that have slots of the servers that could run a request, if those are brittle and
// this instance has none; nil if it needn't be passed on.
//
// The load is a small service of a large fleet: there are fewer slots than instances, so that most have none.
func (c *core) roomOwners(now time.Time, t *target) []string {
	var out []string
	for _, tc := range t.copies {
		s := tc.server
		if !s.listed || s.leaving(now) {
			continue
		}
		if s.room == nil || s.room.Owned() > 0 {
			return nil
		}
		out = append(out, room.Owners(s.Name, s.limit.Batch(), c.instances)...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
