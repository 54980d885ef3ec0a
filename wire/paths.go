package wire

import (
	"fmt"
	"net/url"
)

// Paths that controllers serve to users and agents. Those marked as an extension are not part of the
// platform's interface.
const (
	PathJobs            = "/v1/jobs"
	PathHealth          = "/healthz"
	PathPermissions     = "/v1/access"    // extension
	PathAudit           = "/v1/audit"     // extension
	PathStoreEndpoint   = "/v1/site"      // extension: address and limits of the key-value store
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
	PathCatalog   = "/catalog"
	PathInstances = "/rentals"
	PathScaleIn   = "/rentals/return"
)

// Paths that the key-value store serves.
const (
	PathKeys   = "/store"
	PathTxn    = "/commit"
	PathLeases = "/holds"
	PathWatch  = "/changes"
)

// EndpointForSnapshot is the query of PathStoreEndpoint by which a caller says that it is going to
// save the store's contents.
const EndpointForSnapshot = "snapshot"

// RangePath returns the path and query that list at most limit keys with a prefix, beginning after
// the key afterKey unless that is empty.
func RangePath(prefix, afterKey string, limit int) string {
	path := fmt.Sprintf("%s?starts=%s&most=%d", PathKeys, url.QueryEscape(prefix), limit)
	if afterKey != "" {
		path += "&from=" + url.QueryEscape(afterKey)
	}
	return path
}
