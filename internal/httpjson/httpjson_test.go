package httpjson

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The error for an oversized response must name the limit. It used to end in "%!w(<nil>)", as reading the body had
// succeeded and there was no error to wrap.
func TestOversizedResponseErrorNamesLimit(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 101))) // the client may close the connection first
	}))
	t.Cleanup(server.Close)
	response := New(1, 1, 100).Do(t.Context(), time.Second, http.MethodGet, server.URL, nil)
	if response.Status != 0 || !response.Sent || response.Err == nil {
		t.Fatalf("%+v", response)
	}
	if got := response.Err.Error(); got != "read response: body exceeds 100 bytes" {
		t.Errorf("the error is %q", got)
	}
}
