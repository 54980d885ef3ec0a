// Package utf8text cuts texts to a length in bytes without breaking a character: a protobuf message can't hold invalid
// UTF-8, and JSON would replace it.
package utf8text

import (
	"strings"
	"unicode/utf8"
)

// invalidReplacement stands in a text for a sequence of bytes that is no UTF-8.
const invalidReplacement = "?"

// PrefixLength returns the length of the longest prefix of text of at most maxBytes that ends between two characters.
func PrefixLength(text string, maxBytes int) int {
	if len(text) <= maxBytes {
		return len(text)
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return maxBytes
}

// Truncate returns a text as valid UTF-8 of at most maxBytes. A text that is cut ends with ellipsis, which counts.
func Truncate(text string, maxBytes int, ellipsis string) string {
	text = strings.ToValidUTF8(text, invalidReplacement)
	if len(text) <= maxBytes {
		return text
	}
	return text[:PrefixLength(text, maxBytes-len(ellipsis))] + ellipsis
}
