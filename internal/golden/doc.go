// Package golden tests that what is sent or stored keeps the encoding of earlier versions: messages between
// controllers, bodies of the platform's APIs, values of the store, files, settings. Names in Go may change; encoded
// names must not.
//
// Values are filled by reflection, each field with a value derived from its encoded name, so that Go names have no
// influence. Unexported types that are sent or stored are checked in their own packages.
//
// After an intended change of an encoding, regenerate the files with go test ./internal/golden -update
package golden
