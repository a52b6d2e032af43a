#!/usr/bin/env python3
"""Prints the example configuration of a user, with the current size of the fleet of that user.

Usage: make_examples.py USER [--addresses FILE]

FILE contains the addresses of the hosts, one per line, in the order of the hosts in the configuration.
"""
import hashlib
import sys

USERS = {
    "marktpass": {
        "data_centers": ["lausanne", "geneva", "sion"],
        "services": [
            ("badge-check", [], "urgent", True, 10), ("badge-issue", ["badge-check"], "normal", False, 20),
            ("permit-renewal", ["badge-check", "fee-posting"], "urgent", False, 20), ("fee-posting", [], "normal", False, 20),
        ],
        "teams": [("canton-vaud", 40, 60), ("canton-geneva", 30, 40), ("canton-valais", 20, 30), ("town-morges", 6, 10), ("town-nyon", 6, 10),
                  ("town-vevey", 4, 2)],
    },
    "cubeta-viva": {
        "data_centers": ["san-jose", "cartago", "heredia"],
        "services": [
            ("route-plan", [], "urgent", True, 10), ("tag-print", ["route-plan"], "normal", False, 20),
            ("settlement", ["ledger"], "normal", False, 20), ("ledger", [], "normal", False, 20),
        ],
        "teams": [("flores-del-valle", 40, 60), ("finca-rosa", 30, 40), ("vivero-norte", 20, 30), ("hotel-drivers", 10, 20), ("market-drivers", 6, 10),
                  ("growers-small", 4, 2)],
    },
}
HOSTS_PER_POOL = 10
RACK_SIZE = 4


def host_lines(user, pool, data_centers, addresses, pool_index):
    lines = []
    for i in range(HOSTS_PER_POOL):
        index = pool_index * HOSTS_PER_POOL + i
        data_center = data_centers[index % len(data_centers)]
        rack = index // len(data_centers) // RACK_SIZE
        name = f"{pool}-{i:02}"
        address = addresses[index] if index < len(addresses) else f"127.0.1.{index + 1}:8080"
        lines.append(f"      - {{ name: {name}, data_center: {data_center}, rack: rack-{rack}, address: \"{address}\", slots: 8, connections: 64 }}")
    return lines


def configuration(user, addresses):
    spec = USERS[user]
    lines = [f"# Configuration of {user}. The API key of each team is \"key-\" followed by the name of the team; use such keys only in the demo.", "data_centers: [" + ", ".join(spec["data_centers"]) + "]",
           "claim_retention_ms: 3600000", "key_grace_ms: 0", "pools:"]
    pools = [service[0] + "-pool" for service in spec["services"]] + ["spare"]
    for pool_index, pool in enumerate(pools):
        lines.append(f"  - name: {pool}")
        if pool == "spare":
            lines.append("    spare: true")
        lines.append("    hosts:")
        lines += host_lines(user, pool, spec["data_centers"], addresses, pool_index)
    lines.append("services:")
    for name, dependencies, service_class, repeatable, max_unavailable_percent in spec["services"]:
        lines += [f"  - name: {name}", f"    pool: {name}-pool", f"    depends_on: [{', '.join(dependencies)}]", f"    class: {service_class}",
                f"    repeatable: {str(repeatable).lower()}", f"    max_unavailable_percent: {max_unavailable_percent}", "    queue: keyed", "    max_run_ms: 4000"]
    if user == "marktpass":
        lines += ["  - name: public-lookup", "    pool: badge-check-pool", "    class: normal", "    repeatable: true",
                "    max_unavailable_percent: 10", "    queue: open", "    max_run_ms: 2000"]
    else:
        lines += ["  - name: stock-lookup", "    pool: route-plan-pool", "    class: normal", "    repeatable: true",
                "    max_unavailable_percent: 10", "    queue: open", "    max_run_ms: 2000"]
    lines.append("teams:")
    for team, share, limit in spec["teams"]:
        digest = hashlib.sha256(f"key-{team}".encode()).hexdigest()
        lines.append(f"  - {{ name: {team}, share: {share}, limit: {limit}, keys: [{digest}] }}")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    host_addresses = []
    if len(sys.argv) > 3 and sys.argv[2] == "--addresses":
        with open(sys.argv[3], encoding="ascii") as file:
            host_addresses = file.read().split()
    sys.stdout.write(configuration(sys.argv[1], host_addresses))
