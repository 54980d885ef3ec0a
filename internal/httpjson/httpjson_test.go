package httpjson

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A response that is too large must be reported as such. The error was "read answer: %!w(<nil>)", as nothing had failed
// while it was read.
func TestOversizedResponseErrorNamesLimit(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 101))) // the client gives up earlier
	}))
	t.Cleanup(server.Close)
	response := New(1, 1, 100).Do(t.Context(), time.Second, http.MethodGet, server.URL, nil)
	if response.Status != 0 || !response.Sent || response.Err == nil {
		t.Fatalf("%+v", response)
	}
	if got := response.Err.Error(); got != "read answer: more than 100 bytes" {
		t.Errorf("the error is %q", got)
	}
}
