#!/usr/bin/env bash
# Builds the stand-ins of the cases: target/review/stand has the state service, the cloud, the workers, the load
# balancer and the users.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/stand ./review/stand
