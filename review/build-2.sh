#!/bin/sh
# Checks that the stand-ins of the cases from 6 on compile; they need only the
# standard library, and start the project's programs from target/deps.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for source in standins-2/*.py [6-9]/play.py 10/play.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
