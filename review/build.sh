#!/bin/sh
# Builds the stand-ins of the cases. They are Python modules that need nothing
# but the standard library, so this compiles them to show that they are whole.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print(f"{name} is whole")
END
