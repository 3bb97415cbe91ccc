#!/bin/sh
# The stand-ins of cases 11 to 15 are Python without packages: checks that an interpreter can compile them.
cd "$(dirname "$0")" || exit 2
exec python3 - standins_3.py 1[1-5]/case.py <<'EOF'
import glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later"
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        compile(open(path).read(), path, "exec")
EOF
