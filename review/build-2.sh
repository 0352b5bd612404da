#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/tallycart-node.jar -d target/review-2 review/standin-2/*.java
