#!/usr/bin/env bash
# Writes the settings files and the VM list of two example deployments, agency and vetterli, into examples/.
set -euo pipefail
cd "$(dirname "$0")/.."

# deployment NAME NET REGION:DOMAIN... writes seven entry processes and fifty workers, eight workers to a rack, spread
# over the failure domains. NET is the third byte of their loopback IPs.
deployment() {
  name=$1 net=$2
  shift 2
  domains=("$@")
  vms=""
  for i in 1 2 3 4 5 6 7; do
    d=${domains[$(((i - 1) % ${#domains[@]}))]}
    region=${d%%:*} domain=${d##*:}
    cat >"examples/$name/entry-$i.yaml" <<Y
VM: $name-entry-$i
Region: $region
FailureDomain: $domain
Listen:
  Callers: 127.0.$net.$i:7100
  Fellows: 127.0.$net.$i:7200
  Operators: 127.0.$net.$i:7300
Store: 127.0.$net.101:7400
VMList: 127.0.$net.102:7500
Limits:
  # Round-trip time to the other region.
  CrossRegionMs: 40
Y
    vms+="    {\"ID\": \"$name-entry-$i\", \"Role\": \"Entry\", \"Address\": \"127.0.$net.$i:7200\", \"Region\": \"$region\", \"FailureDomain\": \"$domain\", \"Rack\": \"entry\"},"$'\n'
  done
  for i in $(seq 1 50); do
    rack=$(((i - 1) / 8))
    d=${domains[$((rack % ${#domains[@]}))]}
    vms+="    {\"ID\": \"$name-worker-$i\", \"Role\": \"Worker\", \"Address\": \"127.0.$net.$((i + 110)):7600\", \"Region\": \"${d%%:*}\", \"FailureDomain\": \"${d##*:}\", \"Rack\": \"rack-$rack\", \"Capacity\": {\"MilliCores\": 16000, \"MemoryMB\": 64000, \"Slots\": 8, \"Connections\": 64}},"$'\n'
  done
  printf '{\n  "VMs": [\n%s\n  ]\n}\n' "${vms%,$'\n'}" >"examples/$name/vms.json"
}

deployment agency 10 osrednja:osrednja-a osrednja:osrednja-b stajerska:stajerska-a
deployment vetterli 20 ch-nord:ch-nord-a ch-nord:ch-nord-b ch-west:ch-west-a
