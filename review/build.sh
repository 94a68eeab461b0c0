#!/bin/sh
# Compiles the stand-ins of the cases into review/target, with the JDK alone.
cd "$(dirname "$0")" || exit 2
rm -rf target && mkdir -p target && javac -Xlint:all -Werror -encoding UTF-8 -d target standin/*.java
