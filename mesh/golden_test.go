package mesh

import "testing"

// Controllers of other versions call here, and say who they are, by these names.
func TestNamesStay(t *testing.T) {
	if path != "/mesh" || header != "Dewlift-Node" {
		t.Errorf("%s %s", path, header)
	}
}
