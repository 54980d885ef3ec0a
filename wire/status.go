package wire

import "net/http"

// Status is the outcome of a request: the HTTP status of its answer, or StatusNoAnswer.
type Status int

// The outcomes that the platform's services and this program answer with.
const (
	// StatusNoAnswer means that no answer came: whether the request was executed is not known.
	StatusNoAnswer         Status = 0
	StatusOK               Status = http.StatusOK
	StatusCreated          Status = http.StatusCreated
	StatusBadRequest       Status = http.StatusBadRequest
	StatusUnauthorized     Status = http.StatusUnauthorized
	StatusForbidden        Status = http.StatusForbidden
	StatusNotFound         Status = http.StatusNotFound
	StatusConflict         Status = http.StatusConflict
	StatusGone             Status = http.StatusGone
	StatusInvalid          Status = http.StatusUnprocessableEntity
	StatusTooManyRequests  Status = http.StatusTooManyRequests
	StatusUnavailable      Status = http.StatusServiceUnavailable
	StatusMethodNotAllowed Status = http.StatusMethodNotAllowed
	StatusPayloadTooLarge  Status = http.StatusRequestEntityTooLarge
	StatusInternalError    Status = http.StatusInternalServerError
)

// OK reports whether the request was executed as asked.
func (s Status) OK() bool { return s == StatusOK }

// NotExecuted reports whether a service refused the request before it did any of it: it may be sent again as it is.
func (s Status) NotExecuted() bool { return s == StatusTooManyRequests || s == StatusUnavailable }
