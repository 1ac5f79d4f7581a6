package operatorapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"limpethub/internal/logging"
	"limpethub/internal/sitecheck"
	"limpethub/internal/strictjson"
)

// Paths of the HTTP interface. Clients of other versions use them, so they may not change.
// All but PathHealth require credentials of an operator.
const (
	PathHealth        = "/healthz"
	PathMetrics       = "/metrics"
	PathStatus        = "/v1/operator/status"
	PathConfiguration = "/v1/operator/configuration"
	PathExplain       = "/v1/operator/explain/"
	PathLocate        = "/v1/operator/locate/"
	PathInstances     = "/v1/operator/instances/"
	PathQuarantine    = "/v1/operator/quarantine"
)

// Default limits of a Handler; WithLimits sets others.
const (
	// defaultMaxBodyBytes is the maximum size of the body of a configuration change.
	defaultMaxBodyBytes = 4 << 20
	// defaultMaxCalls is the maximum number of calls in progress.
	defaultMaxCalls = 64
)

// Handler serves the operators' HTTP interface of an instance. It authenticates calls,
// limits their number and duration, and passes them to a Controller.
type Handler struct {
	controller Controller
	auth       Auth
	metrics    http.Handler
	log        *logrus.Entry
	router     *mux.Router
	// maxBodyBytes is the maximum size of the body of a configuration change.
	maxBodyBytes int64
	// callSlots holds one element per call in progress. Its capacity is the limit.
	callSlots chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// Option sets an optional property of a Handler.
type Option func(*Handler)

// WithMetrics serves metrics at PathMetrics to operators.
func WithMetrics(metrics http.Handler) Option {
	return func(h *Handler) { h.metrics = metrics }
}

// WithLog sets the logger. The handler logs change requests, calls that it refuses for lack
// of credentials, and answers that it couldn't write.
func WithLog(log *logrus.Entry) Option {
	return func(h *Handler) { h.log = log }
}

// WithLimits sets the maximum size of the body of a configuration change, in bytes, and the
// maximum number of calls in progress.
func WithLimits(maxBodyBytes int64, maxCalls int) Option {
	return func(h *Handler) {
		h.maxBodyBytes = maxBodyBytes
		h.callSlots = make(chan struct{}, maxCalls)
	}
}

// NewHandler creates a Handler. The options override the default limits; nothing is logged
// without WithLog.
func NewHandler(controller Controller, auth Auth, options ...Option) *Handler {
	h := &Handler{controller: controller, auth: auth, log: logging.Discard()}
	WithLimits(defaultMaxBodyBytes, defaultMaxCalls)(h)
	for _, option := range options {
		option(h)
	}
	h.route()
	return h
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) route() {
	// Names stay escaped until a route has matched, so that a name that contains a
	// slash is one segment of the path.
	h.router = mux.NewRouter().UseEncodedPath()
	h.router.HandleFunc(PathHealth, h.health).Methods(http.MethodGet)
	protected := h.router.NewRoute().Subrouter()
	protected.Use(h.requireOperator, h.limitCalls, limitDuration)
	protected.HandleFunc(PathStatus, h.status).Methods(http.MethodGet)
	protected.HandleFunc(PathConfiguration, h.configuration).Methods(http.MethodGet)
	protected.HandleFunc(PathConfiguration, h.apply).Methods(http.MethodPut)
	protected.HandleFunc(PathExplain+"{name}", h.explain).Methods(http.MethodGet)
	protected.HandleFunc(PathLocate+"{name}", h.locate).Methods(http.MethodGet)
	protected.HandleFunc(PathInstances+"{name}/drain", h.drain).Methods(http.MethodPost)
	protected.HandleFunc(PathQuarantine, h.quarantine).Methods(http.MethodGet)
	protected.HandleFunc(PathQuarantine+"/{name}", h.release).Methods(http.MethodDelete)
	if h.metrics != nil {
		protected.Handle(PathMetrics, h.metrics).Methods(http.MethodGet)
	}
}

// requireOperator is a middleware that refuses calls without credentials of an operator.
func (h *Handler) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := h.auth.Operator(r)
		if !ok {
			h.log.WithFields(logrus.Fields{"path": r.URL.Path, "from": r.RemoteAddr}).Warn("Refused a call without a valid operator certificate or token.")
			h.fail(w, ErrUnauthorized)
			return
		}
		if r.Method != http.MethodGet {
			h.log.WithFields(logrus.Fields{"path": r.URL.Path, "operator": operator}).Info("Received a change request from an operator.")
		}
		next.ServeHTTP(w, r)
	})
}

// limitCalls is a middleware that refuses a call while the maximum number is in progress.
func (h *Handler) limitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case h.callSlots <- struct{}{}:
			defer func() { <-h.callSlots }()
			next.ServeHTTP(w, r)
		default:
			h.fail(w, &UnavailableError{Reason: "too many operators' calls are in progress"})
		}
	})
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ok")
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.controller.Status(r.Context())
	h.answer(w, &status, err)
}

func (h *Handler) configuration(w http.ResponseWriter, r *http.Request) {
	accepted, err := h.controller.Configuration(r.Context())
	h.answer(w, &accepted, err)
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	change, err := h.decodeChange(w, r)
	if err != nil {
		h.fail(w, err)
		return
	}
	if err := checkDocument(&change); err != nil {
		h.fail(w, err)
		return
	}
	accepted, err := h.controller.Apply(r.Context(), change)
	h.answer(w, &accepted, err)
}

// decodeChange reads a configuration change. It refuses unknown fields: a field that this
// version doesn't know would otherwise be dropped without notice.
func (h *Handler) decodeChange(w http.ResponseWriter, r *http.Request) (ApplyRequest, error) {
	var change ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, h.maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return change, &badRequestError{reason: fmt.Sprintf("the change can't be read: %v", err)}
	}
	if change.ChangeID == "" {
		return change, &badRequestError{reason: "the change has no change_id"}
	}
	return change, nil
}

// checkDocument validates the document of a change, even if the sender did so: the sender
// may be of another version, or a tool that doesn't validate.
func checkDocument(change *ApplyRequest) error {
	err := sitecheck.Verify(&change.Document)
	var problems strictjson.Problems
	if errors.As(err, &problems) {
		return &InvalidError{Problems: problems}
	}
	return err
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	name, err := nameInPath(r)
	if err != nil {
		h.fail(w, err)
		return
	}
	explanation, err := h.controller.Explain(r.Context(), name)
	h.answer(w, &explanation, err)
}

func (h *Handler) locate(w http.ResponseWriter, r *http.Request) {
	name, err := nameInPath(r)
	if err != nil {
		h.fail(w, err)
		return
	}
	location, err := h.controller.Locate(r.Context(), name)
	h.answer(w, &location, err)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	name, err := nameInPath(r)
	if err != nil {
		h.fail(w, err)
		return
	}
	if err := h.controller.Drain(r.Context(), name); err != nil {
		h.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (h *Handler) quarantine(w http.ResponseWriter, r *http.Request) {
	quarantine, err := h.controller.Quarantine(r.Context())
	h.answer(w, &quarantine, err)
}

func (h *Handler) release(w http.ResponseWriter, r *http.Request) {
	part, err := nameInPath(r)
	if err == nil {
		err = h.controller.Release(r.Context(), part)
	}
	if err != nil {
		h.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// answer writes err as an error body or, if err is nil, the value that pointer points to.
// Nil lists of the value are written as empty ones.
func (h *Handler) answer(w http.ResponseWriter, pointer any, err error) {
	if err != nil {
		h.fail(w, err)
		return
	}
	strictjson.FillLists(pointer)
	h.write(w, http.StatusOK, pointer)
}

var statusOfCode = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeConflict:     http.StatusConflict,
	CodeInvalid:      http.StatusUnprocessableEntity,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnclear:      http.StatusGatewayTimeout,
	CodeInternal:     http.StatusInternalServerError,
}

func (h *Handler) fail(w http.ResponseWriter, err error) {
	body := newErrorBody(err)
	if body.Code == CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	h.write(w, statusOfCode[body.Code], body)
}

func (h *Handler) write(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		h.log.WithError(err).Error("Could not encode an answer as JSON; the call is answered with status 500.")
		// The caller gets the error that package json wraps, such as one of a MarshalJSON
		// method, without the text that package json adds.
		http.Error(w, errors.Unwrap(err).Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		h.log.WithError(err).Debug("Could not write an answer; the operator may have disconnected.")
	}
}
