"""
standin.demo
~~~~~~~~~~~~

Demonstrates the system with default settings, under load: a selector is
changed, maintenance waves run, the leader is killed and restarted; then the keys of
two client accounts.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import sys
import time

from standin.account_demo import show_accounts
from standin.callers import Callers
from standin.cluster import Cluster, wait_for

SERVICES = [("eligibility", True), ("refill", False), ("route", True)]
WAVE_SECONDS = 40.0
BUDGET_BY_GROUP = {"prescriptions": 1, "journeys": 2}


def is_maintained(cluster, partner):
    """Whether every VM of a partner has been maintained and is live again."""
    vms = [vm for vm in cluster.objects("vm").values() if vm["partner"] == partner]
    return all(vm["maintained_version"] and vm["life"] == "live" for vm in vms)


def change_selector(cluster):
    """Exclude two VMs from a service by labels and selector.

    Returns the monotonic time of the end, the duration in seconds and whether
    the change came into force.
    """
    started = time.monotonic()
    for vm in cluster.vm_documents[:2]:
        vm["labels"] = {**vm["labels"], "color": "green"}
        cluster.put("prescriptions", vm)
    partner, service = cluster.services()[0]
    outcome = cluster.put(partner, {**service, "selector": "tier=small,color=blue"})
    in_force = cluster.client(partner).wait_in_force(outcome["version"])
    return time.monotonic(), time.monotonic() - started, in_force


def run_wave(cluster, partner):
    """Run a maintenance wave over a partner's VMs; return the seconds it took."""
    started = time.monotonic()
    cluster.put(partner, {"kind": "campaign", "name": f"{partner}-kernel"})
    wait_for(
        lambda: is_maintained(cluster, partner), WAVE_SECONDS, f"the wave of {partner}"
    )
    return time.monotonic() - started


def kill_and_restart_leader(cluster):
    """Kill the leader and restart it.

    Returns the seconds until another replica is leader, and until the restarted
    one has caught up.
    """
    name = cluster.wait_leader()
    cluster.process_by_name[name].kill()
    started = time.monotonic()
    wait_for(cluster.leader, what="a new leader")
    without_leader = time.monotonic() - started
    cluster.process_by_name[name].start()
    target = cluster.status(cluster.wait_leader())["commit_index"]
    wait_for(
        lambda: (cluster.status(name) or {}).get("applied_index", 0) >= target,
        what=f"{name} to catch up",
    )
    return without_leader, time.monotonic() - started


def print_table(rows):
    """Print pairs of a name and a value in aligned columns."""
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"  {name.ljust(width)}  {value}")


def violated_guarantees(verdict, counts, excluded_used, in_force):
    """Return the names of the violated guarantees.

    `counts`
        Counters of the simulated platform.
    `excluded_used`
        Number of requests that excluded VMs answered after the change.
    `in_force`
        Whether the change came into force.
    """
    broken = verdict.broken()
    if counts["cut"]:
        broken.append("cut_off_by_maintenance")
    for group, most in counts["most_down_by_group"].items():
        if most > BUDGET_BY_GROUP[group]:
            broken.append(f"budget_of_{group}")
    if excluded_used:
        broken.append("change_reverted")
    if not in_force:
        broken.append("change_not_in_force")
    if not verdict.answered_whole:
        broken.append("nothing_answered")
    return broken


def run(cluster):
    """Run the demo; return the exit code."""
    print("starting 3 control replicas, 2 entries, 1 planner and the stubs")
    cluster.start()
    entries = [cluster.http_by_name[name] for name in cluster.entry_names]
    callers = Callers(entries, SERVICES).start()
    print("requests are being sent; changing labels and a selector")
    changed_at, change_seconds, in_force = change_selector(cluster)
    print("maintenance waves of both partners, under load")
    waves = {partner: run_wave(cluster, partner) for partner in BUDGET_BY_GROUP}
    print("killing the leader of the control replicas and restarting it")
    without_leader, recovery_seconds = kill_and_restart_leader(cluster)
    callers.stop()
    counts = cluster.counts()
    verdict = callers.verdict(counts["ran"])
    excluded = {vm["name"] for vm in cluster.vm_documents[:2]}
    excluded_used = sum(
        result.vm in excluded
        for result in callers.results
        if result.service == "eligibility" and result.at - result.seconds > changed_at
    )
    rows = [
        ("requests sent", verdict.sent),
        ("answered whole", verdict.answered_whole),
        ("refused as not run", verdict.refused_not_run),
        ("outcome unknown", verdict.unknown),
        ("no answer from the entry", verdict.no_answer),
        ("answer of another request", verdict.wrong_answer),
        ("not repeatable, run twice", verdict.ran_twice),
        ("said not run, but ran", verdict.not_run_but_ran),
        ("refusals by code", verdict.codes or "none"),
        ("cut off by maintenance", counts["cut"]),
        ("change in force after (s)", f"{change_seconds:.2f}"),
        ("sent to excluded VMs after that", excluded_used),
    ]
    for partner, seconds in waves.items():
        budget = BUDGET_BY_GROUP[partner]
        most = counts["most_down_by_group"].get(partner, 0)
        rows.append((f"wave of {partner} (s)", f"{seconds:.1f}"))
        rows.append((f"  most VMs down, of {budget}", most))
    rows += [
        ("moves (reboots)", len(counts["reboots"])),
        ("without a leader after a kill (s)", f"{without_leader:.2f}"),
        ("killed replica caught up after (s)", f"{recovery_seconds:.2f}"),
    ]
    print_table(rows)
    broken = violated_guarantees(verdict, counts, excluded_used, in_force)
    print("two client accounts, on a stub of the users' platform")
    account_rows, broken_keys = show_accounts()
    print_table(account_rows)
    broken += broken_keys
    print("broken promises:", ", ".join(broken) or "none")
    return 1 if broken else 0


def main():
    """Run the demo on a new cluster."""
    with Cluster() as cluster:
        sys.exit(run(cluster))


if __name__ == "__main__":
    main()
