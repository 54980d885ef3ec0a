// Package utf8text truncates text to a length in bytes without splitting a character. A protobuf message cannot contain
// invalid UTF-8, and the JSON encoder would replace it.
package utf8text

import (
	"strings"
	"unicode/utf8"
)

// invalidReplacement replaces each sequence of bytes that is not valid UTF-8.
const invalidReplacement = "?"

// PrefixLength returns the length of the longest prefix of text that has at most maxBytes and does not split a
// character.
func PrefixLength(text string, maxBytes int) int {
	if len(text) <= maxBytes {
		return len(text)
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return maxBytes
}

// Truncate returns a text as valid UTF-8 of at most maxBytes. A truncated text ends with the ellipsis, which counts
// toward maxBytes and must not be longer than that.
func Truncate(text string, maxBytes int, ellipsis string) string {
	text = strings.ToValidUTF8(text, invalidReplacement)
	if len(text) <= maxBytes {
		return text
	}
	return text[:PrefixLength(text, maxBytes-len(ellipsis))] + ellipsis
}
