#!/usr/bin/env bash
# Makes the committed protobuf code again from wire/src/main/proto. Needs Maven; protoc comes as a Maven artifact.
set -euo pipefail
cd "$(dirname "$0")/.."
version=$(sed -n 's#.*<protobuf.version>\(.*\)</protobuf.version>.*#\1#p' pom.xml)
case $(uname -m) in
  x86_64) machine=x86_64 ;;
  aarch64 | arm64) machine=aarch_64 ;;
  *) echo "generate-wire: no protoc for $(uname -m)" >&2; exit 1 ;;
esac
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mvn -q -B org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy \
  -Dartifact="com.google.protobuf:protoc:$version:exe:linux-$machine" -DoutputDirectory="$work" -Dmdep.useBaseVersion=true
chmod +x "$work"/protoc-*.exe
rm -rf wire/src/main/java/org/tallycart/wire/message
"$work"/protoc-*.exe --proto_path=wire/src/main/proto --java_out=wire/src/main/java wire/src/main/proto/wire.proto
