package wire

import (
	"fmt"
	"net/url"
)

// Paths that controllers serve to users and agents. Paths marked as extensions are not part of the
// platform's interface.
const (
	PathJobs            = "/v1/jobs"
	PathHealth          = "/healthz"
	PathPermissions     = "/v1/access"    // extension
	PathAudit           = "/v1/audit"     // extension
	PathStoreEndpoint   = "/v1/site"      // extension: address and request limits of the key-value store
	PathQueue           = "/v1/queue"     // extension
	PathPriorityClasses = "/v1/lanes"     // extension
	PathReservations    = "/v1/bookings"  // extension
	PathEquipment       = "/v1/equipment" // extension
	PathHeartbeat       = "/agent/beat"
)

// Paths that agents serve.
const (
	PathAgentCommands = "/orders"
	PathAgentStatus   = "/show"
)

// Paths that the cloud serves.
const (
	PathCatalog  = "/catalog"
	PathMachines = "/rentals"
	PathScaleIn  = "/rentals/return"
)

// Paths that the key-value store serves.
const (
	PathKeys   = "/store"
	PathTxn    = "/commit"
	PathLeases = "/holds"
	PathWatch  = "/changes"
)

// EndpointForSnapshot is the value of the "for" parameter of PathStoreEndpoint with which a caller announces
// that it will save the store's contents. The access is audited as such.
const EndpointForSnapshot = "snapshot"

// RangePath returns the path and query of a request that lists at most limit keys with a prefix. Unless
// afterKey is empty, the list begins after this key.
func RangePath(prefix, afterKey string, limit int) string {
	path := fmt.Sprintf("%s?starts=%s&most=%d", PathKeys, url.QueryEscape(prefix), limit)
	if afterKey != "" {
		path += "&from=" + url.QueryEscape(afterKey)
	}
	return path
}
