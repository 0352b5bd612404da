#!/bin/sh
# Compiles the stand-ins of the cases. Needs a JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
