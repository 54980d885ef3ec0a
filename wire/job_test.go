package wire

import (
	"encoding/json"
	"strings"
	"testing"
)

// submissionWith returns a valid submission with one field replaced.
func submissionWith(t *testing.T, field string, value any) []byte {
	t.Helper()
	body := map[string]any{
		"uid": "wk-000001", "ware": "glaze", "crew": "kilns", "form": "batch", "heat": "standard", "pieces": 1,
		"cpus": 1, "cards": 0, "ram_gb": 1, "image_gb": 1, "firing_s": 10, "glaze_s": 0, "cool_s": 0,
		"mould": "", "one_zone": false, "spread": false, "borrowed": false, "kilns": nil, "yard": nil, "due_s": nil,
	}
	body[field] = value
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A text of the maximum length is accepted, and a longer one is rejected with an error that names the field and its
// limit, whether its characters have one byte or several. The error used to name only the field.
func TestTextFieldLengthLimits(t *testing.T) {
	for _, field := range []string{"ware", "crew", "yard", "mould"} {
		for _, character := range []string{"a", "é", "窯", "🏺", "\x00"} {
			for length := maxNameBytes - 1; length <= maxNameBytes+1; length++ {
				text := strings.Repeat(character, length/len(character))
				text += strings.Repeat("x", length-len(text))
				_, err := ParseSubmission(submissionWith(t, field, text))
				if fits := length <= maxNameBytes; fits != (err == nil) {
					t.Errorf("%s of %d bytes: %v", field, length, err)
				}
				if err == nil {
					continue
				}
				if got := err.Error(); !strings.Contains(got, field) || !strings.Contains(got, "200 bytes") {
					t.Errorf("%s of %d bytes: the error names no limit: %v", field, length, err)
				}
			}
		}
		_, err := ParseSubmission(submissionWith(t, field, ""))
		if isEmptyAllowed := field == "mould"; isEmptyAllowed != (err == nil) {
			t.Errorf("%s, empty: %v", field, err)
		}
	}
	for _, tt := range []struct {
		field string
		value any
		want  string
	}{
		{"pieces", MaxTasksPerJob + 1, "from 1 to"},
		{"cpus", maxAmount * 2, "from 0 to"},
		{"kilns", []string{strings.Repeat("é", 101)}, "200 bytes"},
		{"uid", "wk-" + strings.Repeat("a", maxJobIDBytes), "characters"},
	} {
		_, err := ParseSubmission(submissionWith(t, tt.field, tt.value))
		if err == nil || !strings.Contains(err.Error(), tt.field) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want its limit", tt.field, err)
		}
	}
}
