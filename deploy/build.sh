# Installs the pinned libraries and the package under target/deps.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --no-deps --require-hashes \
        --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/balsamrail
cp -r src/balsamrail target/deps/balsamrail
python3 -m compileall -q target/deps/balsamrail
