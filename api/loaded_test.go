package api

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/gofiber/fiber/v3"

	"dewlift/core"
	"dewlift/wire"
)

// unreadyService is a core that has not loaded its replica: no request may reach it.
type unreadyService struct{ t *testing.T }

func (s unreadyService) Enqueue(in core.Input) bool {
	s.t.Errorf("%T reached the core", in)
	return false
}

func (unreadyService) Healthy() bool { return false }

func (unreadyService) StoreEndpoint() wire.StoreEndpoint { return wire.StoreEndpoint{} }

// A controller that has just started answered 404 for accepted jobs and confirmed bookings.
func TestEachRouteIsUnavailableUntilLoaded(t *testing.T) {
	s := New(unreadyService{t}, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.SetReservationsEnabled(true)
	s.SetQueueEnabled(true)
	app := s.newApp()
	parameter := regexp.MustCompile(`:\w+`)
	routes := 0
	for _, route := range app.GetRoutes(true) {
		if route.Method != fiber.MethodGet && route.Method != fiber.MethodPost {
			continue
		}
		routes++
		path := parameter.ReplaceAllString(route.Path, "wk-000001")
		response, err := app.Test(httptest.NewRequest(route.Method, path, nil))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != fiber.StatusServiceUnavailable || response.Header.Get(fiber.HeaderRetryAfter) == "" {
			t.Errorf("%s %s: status %d, Retry-After %q", route.Method, path, response.StatusCode,
				response.Header.Get(fiber.HeaderRetryAfter))
		}
	}
	if routes < 15 {
		t.Errorf("only %d routes were asked", routes)
	}
}
