// Package golden holds, in its tests, what is sent or stored as earlier versions wrote it: messages between
// controllers, bodies of the platform's interfaces, values of the store, files, settings. Names in Go may change;
// these must not.
//
// Values are filled by reflection, each field with a value derived from its name on the wire, so that only what is
// written counts. Unexported types that are sent or stored are checked in their own packages.
//
// A change that is meant to be visible writes the files anew: go test ./internal/golden -update
package golden
