package keys

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
)

// TLSConfigFunc returns the TLS configuration for one new connection, as client or server, with
// the keys and the CA in force at the time of the call. A nil TLSConfigFunc means plain text;
// callers must check for it, because DialContext panics on a nil TLSConfigFunc.
type TLSConfigFunc func() *tls.Config

// DialContext connects over TLS with the configuration in force. It can be used as
// http.Transport.DialTLSContext.
func (c TLSConfigFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: c()}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("keys: dial %s: %w", address, err)
	}
	return conn, nil
}
