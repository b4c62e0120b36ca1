#!/bin/sh
# Installs the gateway, its adapter and their dependencies in target/deps.
# The dependencies are installed again only when their lists have changed.
set -eu
deps=target/deps
if [ ! -f $deps/.libraries ] || [ deploy/requirements.txt -nt $deps/.libraries ] ||
    [ constraints.txt -nt $deps/.libraries ]; then
    rm -rf $deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target $deps -c constraints.txt -r deploy/requirements.txt
    touch $deps/.libraries
fi
for package in packages/mustardlb/mustardlb \
    packages/mustardlb-gateway/mustardlb_gateway platform/mustardlb_platform; do
    rm -rf $deps/"$(basename $package)"
    cp -R $package $deps/
done
# A node cannot write compiled files where its files are read-only.
python3 -m compileall -q $deps/mustardlb $deps/mustardlb_gateway $deps/mustardlb_platform
