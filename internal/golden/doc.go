// Package golden holds, in its tests, what travels or is stored, as the versions before wrote it:
// messages between controllers, bodies of the platform's interfaces, values of the state service,
// files, settings. Names in Go may change; these must not.
//
// Values are filled by reflection, each field with a value that its name on the wire gives, so that
// only what is written counts. What is stored or sent in unexported types is checked in their own
// packages.
//
// A change that is meant to be seen writes the files anew: go test ./internal/golden -update
package golden
