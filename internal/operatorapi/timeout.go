package operatorapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"limpethub/internal/request"
)

const (
	// defaultClientTimeout is assumed for a client that doesn't state its timeout.
	defaultClientTimeout = 10 * time.Second
	// maxClientTimeout is the longest timeout that a client can state. A longer one
	// counts as this long.
	maxClientTimeout = time.Minute
	// workPercent is the share of the client's timeout that the instance may work on a
	// call, in percent. The rest is for the answer to arrive: a client that times out
	// before the instance answers can't know whether its change took effect.
	workPercent = 80
)

// setTimeoutHeader tells the instance how long the client waits for the answer. It sets no
// header if timeout is 0, which means that the client waits without limit.
func setTimeoutHeader(r *http.Request, timeout time.Duration) {
	if timeout > 0 {
		r.Header.Set(request.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
}

// limitDuration is a middleware that cancels a call before its client times out, so that
// the client receives an answer.
func limitDuration(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), clientTimeout(r)*workPercent/100)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// clientTimeout reads the client's timeout, in milliseconds, from the request's header. It
// is defaultClientTimeout if the value is missing or invalid, and at most maxClientTimeout.
func clientTimeout(r *http.Request) time.Duration {
	millis, err := strconv.ParseInt(r.Header.Get(request.HeaderTimeout), 10, 64)
	if err != nil || millis <= 0 {
		return defaultClientTimeout
	}
	if millis > maxClientTimeout.Milliseconds() {
		return maxClientTimeout
	}
	return time.Duration(millis) * time.Millisecond
}
