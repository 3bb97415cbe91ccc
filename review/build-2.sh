#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library, so
# there is nothing to compile: this checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_2.py 7/case.py 8/case.py 9/case.py 10/case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
