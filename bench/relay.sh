#!/usr/bin/env bash
# Measures what the relay through an entry and a sidecar costs, on loopback. Starts a paced engine, a
# platform stand-in, one sidecar and one entry for each load, and stops only the processes that it
# started. Usage: bench/relay.sh
set -euo pipefail
cd "$(dirname "$0")/.."
guavawalk=(${PYTHON:-.venv/bin/python} -m guavawalk)
work=$(mktemp -d)
pids=()
finish() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; rm -r "$work"; }
trap finish EXIT

"${guavawalk[@]}" bench relay-config --out "$work"

measure() { # requests/s, duration in s, tokens per request, tokens/s per stream, tokens per write
    pids=()
    "${guavawalk[@]}" standin paced --listen 127.0.0.1:7200 \
        --tokens-per-s "$4" --tokens-per-write "$5" >/dev/null & pids+=($!)
    "${guavawalk[@]}" standin platform "$work/values" --listen 127.0.0.1:7100 >/dev/null & pids+=($!)
    sleep 2
    "${guavawalk[@]}" sidecar --settings "$work/sidecar.json" 2>/dev/null & pids+=($!)
    sidecar=$!
    "${guavawalk[@]}" entry --settings "$work/entry.json" 2>/dev/null & pids+=($!)
    entry=$!
    sleep 3
    "${guavawalk[@]}" bench relay --requests-per-s "$1" --duration-s "$2" --tokens "$3" \
        --entry-pid "$entry" --sidecar-pid "$sidecar"
    for pid in "${pids[@]}"; do kill "$pid"; done
    wait
}

echo "share of one node at the final size: 6 requests/s, 3,000 tokens/s"
measure 6 20 500 60 1
echo "maximum throughput of one entry: 40 requests/s, 2,000 tokens each"
measure 40 8 2000 1000 20
