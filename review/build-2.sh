#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. The build of the
# deploy file has to be done besides, since the scripts start its program.
set -e
cd "$(dirname "$0")/standins-2"
go build -o ../../target/review-2/standins-2 .
