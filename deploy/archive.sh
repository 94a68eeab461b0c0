#!/bin/sh
# Leaves target/barrowshore.jsa, an archive of the classes that a scheduler loads until it has carried a job: a start
# with it takes two thirds of the time, which counts when schedulers are restarted one after the other. Without it, or
# where it does not fit, the JVM starts as ever (-Xshare:auto); so nothing here may fail the build.
# usage: deploy/archive.sh, from the repository's root, after the package
cd "$(dirname "$0")/.." || exit 0
dir=$(mktemp -d) || exit 0
trap 'rm -rf "$dir"' EXIT
cat > "$dir/config.json" <<'JSON'
{"name":"archive","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","ops":"127.0.0.1:0","seed":"1","peer_listen":"127.0.0.1:0",
 "peers":["127.0.0.1:9"],"peers_all":"127.0.0.1:9","known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":
 "127.0.0.1:9","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
 "settings":{"groupSize":1,"zones":["a"],"kinds":["m"],"tick":5000,"lanes":[{"name":"job","aim":100000,
 "deadline":500000,"worth":1.0,"idempotency":"idempotent","keyScope":"all","repeatWindow":500000}]}}
JSON
run=$(sed -n 's/^run = "exec \(java .*\) -jar .*"$/\1/p' deploy/balancer.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')
$run -XX:ArchiveClassesAtExit=target/barrowshore.jsa -jar target/barrowshore.jar rehearse --config "$dir/config.json" \
    > "$dir/log" 2>&1 || cat "$dir/log" >&2
exit 0
