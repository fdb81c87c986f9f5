#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use
# the standard library alone, so they are only compiled, to show early whether
# this machine's Python can run them. The programs under test are built by the
# deploy file into target/.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed.")
END
python3 -m compileall -q standins-3
test -d ../target/deps || echo "target/deps is missing: run the deploy build first" >&2
