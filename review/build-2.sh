#!/bin/sh
# Builds what the scripts of the second review start, after the build of the
# deploy file: byte code of the stand-ins and cases, which need no library.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/lab2 review/6 review/7 review/8 review/9 \
    review/10 || exit 1
for module in web store instance holds system; do
    PYTHONPATH=. python3 -B -c "import review.lab2.$module" || exit 1
done
PYTHONPATH=target/deps python3 -S -B -c \
    "import oleanderhoist.cli.routercommand" || exit 1
