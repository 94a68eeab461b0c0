#!/bin/sh
# Builds the stand-ins and drivers of the cases review/6 to review/10, after the build of the deploy file.
# usage: review/build-2.sh
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/standins-2/*.java
