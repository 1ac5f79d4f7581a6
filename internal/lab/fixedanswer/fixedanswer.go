// Package fixedanswer is an HTTP server for tests that answers each request with the same bytes, which needn't be HTTP.
package fixedanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server answers each request with fixed bytes.
type Server struct {
	listener net.Listener
	options  Options
	requests atomic.Int64
	serving  sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
}

// Options says how a Server answers.
type Options struct {
	// Answer is what it writes.
	Answer string
	// Unread makes it answer before it reads the body of a request, which then stays unread.
	Unread bool
	// End ends the connection after the answer. With nil it stays open, and the server reads the next request.
	End func(*net.TCPConn)
}

// Listen serves on a free loopback port.
func Listen(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fixedanswer: %w", err)
	}
	s := &Server{listener: listener, options: options}
	s.serving.Go(s.accept)
	return s, nil
}

// Address is the server's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests is the number of requests whose head was read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close ends the server with its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, connection := range s.connections {
		_ = connection.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections = append(s.connections, connection)
		s.mu.Unlock()
		s.serving.Go(func() { s.serve(connection.(*net.TCPConn)) })
	}
}

func (s *Server) serve(connection *net.TCPConn) {
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !s.options.Unread {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(connection, s.options.Answer); err != nil {
			return
		}
		if s.options.End != nil {
			s.options.End(connection)
			return
		}
	}
}
