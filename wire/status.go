package wire

import "net/http"

// Status is the outcome of a request: the HTTP status of the response, or StatusNoResponse.
type Status int

// Outcomes of requests to the platform's services and to controllers.
const (
	// StatusNoResponse means that there was no response. It is unknown whether the request was executed.
	StatusNoResponse       Status = 0
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

// OK reports whether the request succeeded.
func (s Status) OK() bool { return s == StatusOK }

// NotExecuted reports whether the service rejected the request without executing any of it, so that it is safe to
// retry.
func (s Status) NotExecuted() bool { return s == StatusTooManyRequests || s == StatusUnavailable }
