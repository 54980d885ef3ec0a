package mesh

import "testing"

// Controllers of other versions call here, and say who they are, by these names.
func TestNamesStay(t *testing.T) {
	if streamPath != "/mesh" || nodeHeader != "Dewlift-Node" {
		t.Errorf("%s %s", streamPath, nodeHeader)
	}
}
