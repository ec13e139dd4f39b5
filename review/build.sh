#!/bin/sh
# Checks that the stand-ins can be started. They are Python source, like those
# in standins/, and need only the libraries that the deploy file's build puts
# under target/deps; nothing is compiled or fetched.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 -c "
from review import common
from review import traffic
from standins import store
"
