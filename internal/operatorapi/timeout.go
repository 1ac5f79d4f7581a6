package operatorapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"limpethub/internal/request"
)

const (
	// defaultCallTimeout bounds a call whose client doesn't say how long it waits.
	defaultCallTimeout = 10 * time.Second
	// maxCallTimeout bounds every call.
	maxCallTimeout = time.Minute
	// answerShare is the share of a client's patience, in hundredths, that the instance
	// may work for. The rest is for the answer to arrive: a client that gives up before
	// the instance does can't know what became of its change.
	answerShare = 80
)

// sendTimeout tells the instance how long the client waits; 0 means for ever.
func sendTimeout(r *http.Request, timeout time.Duration) {
	if timeout > 0 {
		r.Header.Set(request.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
}

// bounded is a middleware that ends the work on a call before its client gives up.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout(r)*answerShare/100)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// callTimeout is how long the client waits.
func callTimeout(r *http.Request) time.Duration {
	millis, err := strconv.ParseInt(r.Header.Get(request.HeaderTimeout), 10, 64)
	if err != nil || millis <= 0 {
		return defaultCallTimeout
	}
	if millis > maxCallTimeout.Milliseconds() {
		return maxCallTimeout
	}
	return time.Duration(millis) * time.Millisecond
}
