#!/bin/sh
# Puts the declared packages and the project's own into target/deps.
set -eu
deps=target/deps
stamp=target/requirements.sum
wanted=$(cksum deploy/requirements.txt)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -r deploy/requirements.txt
    printf '%s\n' "$wanted" > "$stamp"
fi
for package in camphorstair_core camphorstair_runtime camphorstair camphorstair_agent camphorstair_fleet camphorstair_platform; do
    rm -rf "${deps:?}/$package"
done
for source in packages/core/src packages/runtime/src packages/entry/src packages/agent/src packages/fleet/src platform/src; do
    cp -R "$source"/. "$deps"/
done
python3 -OO -m compileall -q "$deps" || true
