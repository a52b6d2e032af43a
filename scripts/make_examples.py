#!/usr/bin/env python3
"""Writes the two example configurations at the users' sizes of today.

Usage: make_examples.py USER [--addresses FILE]; FILE holds one address a line for the hosts in their order.
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


def host_lines(user, pool, data_centers, addresses, number):
    lines = []
    for i in range(HOSTS_PER_POOL):
        index = number * HOSTS_PER_POOL + i
        center = data_centers[index % len(data_centers)]
        rack = index // len(data_centers) // RACK_SIZE
        name = f"{pool}-{i:02}"
        address = addresses[index] if index < len(addresses) else f"127.0.1.{index + 1}:8080"
        lines.append(f"      - {{ name: {name}, data_center: {center}, rack: rack-{rack}, address: \"{address}\", slots: 8, connections: 64 }}")
    return lines


def configuration(user, addresses):
    spec = USERS[user]
    out = [f"# Configuration of {user}. Keys of the teams are \"key-\" and the team's name, for the demo only.", "data_centers: [" + ", ".join(spec["data_centers"]) + "]",
           "claim_retention_ms: 3600000", "key_grace_ms: 0", "pools:"]
    pools = [service[0] + "-pool" for service in spec["services"]] + ["spare"]
    for number, pool in enumerate(pools):
        out.append(f"  - name: {pool}")
        if pool == "spare":
            out.append("    spare: true")
        out.append("    hosts:")
        out += host_lines(user, pool, spec["data_centers"], addresses, number)
    out.append("services:")
    for name, depends, kind, repeatable, budget in spec["services"]:
        out += [f"  - name: {name}", f"    pool: {name}-pool", f"    depends_on: [{', '.join(depends)}]", f"    class: {kind}",
                f"    repeatable: {str(repeatable).lower()}", f"    max_unavailable_percent: {budget}", "    queue: keyed", "    max_run_ms: 4000"]
    if user == "marktpass":
        out += ["  - name: public-lookup", "    pool: badge-check-pool", "    class: normal", "    repeatable: true",
                "    max_unavailable_percent: 10", "    queue: open", "    max_run_ms: 2000"]
    else:
        out += ["  - name: stock-lookup", "    pool: route-plan-pool", "    class: normal", "    repeatable: true",
                "    max_unavailable_percent: 10", "    queue: open", "    max_run_ms: 2000"]
    out.append("teams:")
    for team, share, limit in spec["teams"]:
        digest = hashlib.sha256(f"key-{team}".encode()).hexdigest()
        out.append(f"  - {{ name: {team}, share: {share}, limit: {limit}, keys: [{digest}] }}")
    return "\n".join(out) + "\n"


if __name__ == "__main__":
    listed = []
    if len(sys.argv) > 3 and sys.argv[2] == "--addresses":
        with open(sys.argv[3], encoding="ascii") as file:
            listed = file.read().split()
    sys.stdout.write(configuration(sys.argv[1], listed))
