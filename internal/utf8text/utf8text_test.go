package utf8text

import (
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"
)

// Text is truncated between characters, as late as possible, and text within the limit is unchanged.
func TestTruncate(t *testing.T) {
	for _, tt := range []struct {
		text     string
		maxBytes int
		ellipsis string
		want     string
	}{
		{"", 3, "", ""},
		{"abc", 3, "...", "abc"},
		{"abcd", 3, "...", "..."},
		{"aé", 3, "", "aé"},
		{"aé", 2, "", "a"},
		{"窯窯", 5, "", "窯"},
		{"🏺🏺", 7, "", "🏺"},
		{"🏺", 3, "", ""},
		{"a\x00b", 3, "", "a\x00b"},
		{"a\xffb", 3, "", "a?b"},
		{"窯窯窯", 8, "...", "窯..."},
	} {
		if got := Truncate(tt.text, tt.maxBytes, tt.ellipsis); got != tt.want {
			t.Errorf("%q truncated to %d bytes is %q, want %q", tt.text, tt.maxBytes, got, tt.want)
		}
	}
}

// Any text is truncated to valid UTF-8 within the limit, and loses less than one character more than necessary.
func TestTruncateAnyText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.SliceOf(rapid.Byte()).Draw(t, "text"))
		maxBytes := rapid.IntRange(0, 40).Draw(t, "maxBytes")
		got := Truncate(text, maxBytes, "")
		valid := strings.ToValidUTF8(text, invalidReplacement)
		if !utf8.ValidString(got) || len(got) > maxBytes || !strings.HasPrefix(valid, got) {
			t.Fatalf("%q truncated to %d bytes is %q", text, maxBytes, got)
		}
		if len(got) < min(len(valid), maxBytes)-(utf8.UTFMax-1) {
			t.Fatalf("%q truncated to %d bytes is %q, which is too short", text, maxBytes, got)
		}
	})
}
